"""Randomized fault soak: real gateway processes, stand-ins of the users' platform, faults.

Everything runs on loopback. A seed decides the faults and the requests; the promises are
judged from what callers and back ends saw.
"""
