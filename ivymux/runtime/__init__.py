"""Shared by all processes of the system: the settings file, the log, system time, start and signals."""
