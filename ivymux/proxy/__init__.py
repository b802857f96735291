"""The proxy of the system: the data plane behind a front that speaks the users' protocol."""
