"""The list of workers from CSV or YAML, and the judge of its changes.  Pure: no files, sockets or clock."""
