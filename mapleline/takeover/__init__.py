"""Hot restart: an old and a new process act as one ingress until the old one ends (docs/design/daily-operation.md)."""
