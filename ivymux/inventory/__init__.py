"""Reads lists of workers from CSV or YAML and checks changes of them; it uses no files, sockets or clocks."""
