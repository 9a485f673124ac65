"""`mapleline try`: a small cluster of real processes on loopback, with stand-ins for the platform and the servers."""
