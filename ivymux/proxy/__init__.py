"""The system's proxy: routes clients' requests to backends by the configuration and membership in force."""
