"""Simulations of the system without clocks and sockets, and runs of its processes on loopback addresses."""
