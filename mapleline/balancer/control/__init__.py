"""The operator's word: one agreed state of the system, decided by ballots of the core (docs/design/control.md)."""
