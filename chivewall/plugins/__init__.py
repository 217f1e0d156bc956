"""Plug-ins: their base class, the registry that finds them, and the built-in ones."""
