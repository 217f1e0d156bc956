"""Plug-ins: what a plug-in must offer, how it is found, and the built-in ones."""
