"""The administration API for tenants, with its own process and listener, separate from the data plane."""
