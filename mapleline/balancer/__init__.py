"""The global load balancer: one program, whose subcommands are its roles (docs/design/system.md)."""
