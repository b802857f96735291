"""The users' configuration: its types, its check, and the plan of routes compiled from it.  Pure."""
