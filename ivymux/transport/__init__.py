"""Held connections between the system's own processes: netstrings of JSON, calls, their bounds."""
