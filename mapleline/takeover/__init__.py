"""Hot restart: two processes as one ingress while one replaces the other (docs/design/daily-operation.md)."""
