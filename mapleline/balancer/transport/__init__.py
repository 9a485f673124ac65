"""How ingresses talk to each other: messages, the stamps that fence them off, datagrams and calls."""
