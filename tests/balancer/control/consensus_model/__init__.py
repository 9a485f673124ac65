"""A model of the control replicas, in which a search explores losses, delays, restarts, wiped disks and rivals.

A world of a few machines drives the same `Acceptor`, `Proposal`, `ReadLease` and rules of reconfiguration and commands
as the control plane does; everything between them is the search's: what arrives, when, how often, and what a loss of
power leaves.  What is chosen is computed from the disks, never taken from a proposer (docs/design/control.md).
"""
