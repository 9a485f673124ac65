"""Discovery: the platform's list of servers, and the directory that leads clients to ingresses."""
