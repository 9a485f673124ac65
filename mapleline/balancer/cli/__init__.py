"""The command line of the global load balancer."""
