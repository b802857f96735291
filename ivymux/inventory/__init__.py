"""Parses lists of workers from CSV or YAML and checks changes to them; uses no files, sockets or clocks."""
