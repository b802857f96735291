"""A standalone front door, put together from a site file."""
