"""A tenant's desired state, its keys, its share of a gateway and the rules for its workers' addresses."""
