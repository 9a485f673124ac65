# Our own settings, for `mapleline run --settings`; each stands here with its default.  The platform's `run`
# reads none of this: there the ingress is one process.  `mapleline check deploy/mapleline.hcl` checks it.

cores {
  workers               = 1     # worker processes; 1: a single process without a supervisor
  offer_ms              = 100   # a connection that a worker does not accept in this time is offered to another one
  balance_ms            = 500   # time between two checks of the load balance; 0: connections are never moved
  lean                  = 1.25  # a worker with this multiple of the mean load passes connections to other workers
  restart_pause_ms      = 100   # delay before a worker that exited is restarted; doubles with each early exit
  restart_pause_most_ms = 5000  # largest restart delay
  settled_ms            = 2000  # an exit after less time in service counts as an early exit
  deaths_most           = 5     # consecutive early exits that end the program
  accounts              = 16384 # customers whose usage a worker shares with the others (112 bytes each)
}

log {
  form = "auto" # json, text, or auto: text if standard error is a terminal, else json
}

budgets {
  enabled        = false # claim shares and send heartbeats through the counter; false: no additional call
  fleet          = "f"   # the fleet's name within the names of its counters (1 to 16 letters or digits)
  whole          = 1000  # units that all shares of the fleet add up to in one lease period
  lease_s        = 10    # length of an epoch; a share is claimed for one epoch and expires with it
  clock_margin_s = 0.52  # half the largest clock error; a share is not used this close to either end of its epoch
  beat_s         = 1     # heartbeat period
  clock_offset_s = 0     # added to the machine's clock for epochs and heartbeat periods (for tests)
  floor          = 0.1   # fraction of each budget that is always split evenly
  retries_per_s  = 0     # retries per second of the whole fleet; 0: not divided
  calls_per_s    = 0     # calls per second to the counter of the whole fleet; 0: not divided
  room           = 0     # attempts in flight at one server from the whole fleet; 0: not divided
  server_per_s   = 0     # first attempts per second that a warm server can take, a cold one a part of it; 0: not divided
}

zones {
  enabled     = false # exchange verdicts on zones with the fleet; false: no additional call
  tiers       = ""    # zones in order of preference, such as "own > *"; empty: all are equal
  evidence_s  = 1     # a zone without any response for this long has failed
  least_tries = 3     # attempts or probes without a response that the failure of a zone requires
  hold_s      = 2     # a zone must be up for this long before the fleet returns
  hold_most_s = 60    # largest hold time of a flapping zone
  flap_s      = 30    # the hold time doubles if a zone fails again within this time after its return
  spill_share = 0.3   # fraction of budgets.server_per_s that a zone accepts from other zones
}

handoff {
  enabled     = false # record requests and take over those of lost ingresses; false: nothing on disk
  dir         = ""    # the fleet's store: a directory that all its ingresses share
  lease_s     = 3     # an ingress that has not renewed its lease for this long loses its requests
  margin_s    = 0.5   # largest clock difference, and longest stall of a reactor turn
  sync_ms     = 0     # time between two syncs to disk; 0: left to the kernel
  snapshot_kb = 4096  # a log that has grown by this much is compacted
  pace_per_s  = 100   # largest number of requests adopted per second
  keep_s      = 60    # how long an outcome is kept that no client has received
}
