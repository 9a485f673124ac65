"""mapleline: an ingress that enforces the plan quotas of customers who share a fleet of agenda servers."""
