"""Persistent connections between the system's own processes and HTTP calls from outside."""
