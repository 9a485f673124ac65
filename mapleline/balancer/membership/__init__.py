"""Which ingresses exist and which of them leads: heartbeats, incarnations and the leader election."""
