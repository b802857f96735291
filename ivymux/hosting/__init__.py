"""The hosting gateway: one process that serves many tenants and follows their desired state."""
