# Our own settings, for `mapleline run --settings`; each stands here with its default.  The platform's `run`
# reads none of this: there the ingress is one process.  `mapleline check deploy/mapleline.hcl` checks it.

cores {
  workers               = 1     # processes that serve; 1 is the single process
  offer_ms              = 100   # a connection not taken in this time goes to another worker
  balance_ms            = 500   # between two looks at how the load lies; 0: connections are never moved
  lean                  = 1.25  # a worker with this many times the mean load hands some over
  restart_pause_ms      = 100   # before a worker that died is replaced, doubled each time
  restart_pause_most_ms = 5000
  settled_ms            = 2000  # a worker that has served this long has not died at once
  deaths_most           = 5     # deaths at once in a row that end the program
  accounts              = 16384 # customers whose use a worker shows to the others (112 bytes each)
}

log {
  form = "auto" # json, text, or text where standard error is a terminal
}
