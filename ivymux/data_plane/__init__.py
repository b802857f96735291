"""The data plane that all frontends share: client connections, the host, connections to backends."""
