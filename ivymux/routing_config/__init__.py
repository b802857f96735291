"""The users' configuration: its types, its checks, and the plan of routes compiled from it.  Pure."""
