"""Simulation of whole nodes on virtual time: scenarios with faults, and invariants that check their histories."""
