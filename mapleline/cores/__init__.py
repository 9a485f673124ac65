"""One ingress as several processes behind one address: a supervisor and its workers."""
