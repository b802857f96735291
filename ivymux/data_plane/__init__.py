"""The data plane that all fronts share: client connections, the host, connections to backends."""
