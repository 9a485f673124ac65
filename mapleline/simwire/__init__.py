"""Adapter of the decision module to the simulator's binary protocol."""
