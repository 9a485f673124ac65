"""The decision module: pure, with no input or output and no clock of its own."""
