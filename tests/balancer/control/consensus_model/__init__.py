"""A model of the control replicas, for a search over message loss, delays, restarts, wiped disks and rival proposers.

A world of a few machines runs the same `Acceptor`, `Proposal`, `ReadLease`, reconfiguration and commands as the control
plane.  The search controls everything between them: which messages arrive, when and how often, and which saves survive
a loss of power.  The chosen states are computed from the disks, never taken from a proposer (docs/design/control.md).
"""
