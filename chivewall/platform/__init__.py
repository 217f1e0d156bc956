"""Adapter for the users' platform: its names, formats and protocols, and no decisions."""
