"""Keeps the list of a gateway's workers: follows inventory files, stores snapshots, resolves host names."""
