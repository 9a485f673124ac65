"""The laboratory: stand-in parties, open-loop load, and measurements.  `run` needs none of it."""
