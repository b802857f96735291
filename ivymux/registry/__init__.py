"""The registry: which backends, proxies and core machines there are; serves HTTP calls from outside."""
