"""Load measurements on one machine: stand-in servers, an open-loop load generator and plots; `run` uses none of it."""
