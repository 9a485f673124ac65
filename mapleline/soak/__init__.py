"""Soak test of the real program: many node processes on loopback under load, faults and configuration changes.

The nodes are real processes that the rig starts, signals and kills.  One further process simulates the clients, the
servers, the cloud platform and the operator.  The verdict uses only what these simulated parties observed, never the
nodes' logs (docs/balancer/soak.md).
"""
