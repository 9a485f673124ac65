"""Simulation of whole nodes on virtual time: scenarios with faults, and the invariants that they are checked by."""
