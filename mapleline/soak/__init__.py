"""A soak of the real program: many node processes on loopback under load, faults and changes, judged from outside.

Clients, servers, the platform and the operator are stand-ins in one process; nodes are real ones, started, signalled
and killed.  What is judged is what the stand-ins saw, never what the nodes log (docs/balancer/soak.md).
"""
