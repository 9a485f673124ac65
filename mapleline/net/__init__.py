"""Thin Twisted drivers: they move bytes between sockets and the state machines."""
