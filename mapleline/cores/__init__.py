"""One ingress that runs as several processes behind one address: a supervisor and its workers."""
