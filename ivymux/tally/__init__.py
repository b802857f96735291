"""Counters whose names expire: in the process, as a service on a socket, or in Redis."""
