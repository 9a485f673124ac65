"""The data plane: clients' requests, and their way to servers and back."""
