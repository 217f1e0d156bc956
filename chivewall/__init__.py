"""Serving system for a fixed fleet of model engines and plain services."""

__version__ = "0.1.0"
