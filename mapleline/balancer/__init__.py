"""The global load balancer's programs: one program, the role is a subcommand (docs/design/system.md)."""
