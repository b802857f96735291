"""The config store: a primary and a backup that hold the configuration, and witnesses that vote on epochs."""
