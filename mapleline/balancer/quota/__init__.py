"""Quotas: replicated counters of each tenant's requests, and the client that consults them."""
