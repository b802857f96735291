"""The registry: which backends, doors and core machines there are; takes the outside calls of the core."""
