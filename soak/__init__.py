"""Randomized soak test: real gateway processes in front of a simulated platform with faults.

Everything runs on loopback. A seed determines the faults and the requests; the guarantees are
checked against what callers and endpoints observed.
"""
