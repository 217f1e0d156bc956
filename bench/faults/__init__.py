"""Fault injection: a generated matrix of steps and faults, pairs, and a random walk."""
