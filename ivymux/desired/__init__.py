"""Stores of an installation's desired state: tenants, their texts, administrators and audit records."""
