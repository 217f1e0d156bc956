"""Benchmarks: simulated sites under load, and measurements of real processes."""
