"""The front door of the operators' platform: NODE_CONFIG, its terms, discovery and counter."""
