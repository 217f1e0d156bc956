"""Fault injection in a simulated site: every step with every fault, pairs and random walks."""
