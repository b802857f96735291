"""Stand-ins for what a front door talks to, as the tests, the demo and the benchmarks need them."""
