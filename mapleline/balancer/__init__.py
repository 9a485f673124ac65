"""The global load balancer: one program, the role is a subcommand (docs/design/system.md)."""
