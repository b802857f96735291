"""The gateway of the operators' platform: NODE_CONFIG, its request protocol, discovery and counter."""
