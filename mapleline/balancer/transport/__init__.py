"""Communication between ingresses: messages, the stamps that fence off stale ones, datagrams and calls."""
