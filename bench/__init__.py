"""Benchmarks: `python -m bench.AREA [--quick] [--json FILE|-]`."""
