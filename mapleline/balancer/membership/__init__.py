"""Membership of the ingresses and election of a leader: heartbeats, incarnations and votes."""
