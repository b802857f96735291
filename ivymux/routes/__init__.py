"""Compiles OpenAPI descriptions into routes, request classes and costs; uses no clock, sockets or files."""
