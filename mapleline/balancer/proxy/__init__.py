"""The data plane: receives clients' requests and forwards them to servers."""
