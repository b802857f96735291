"""Stand-ins for the systems around a gateway, for the tests, the demo and the benchmarks."""
