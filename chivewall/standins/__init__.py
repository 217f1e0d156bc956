"""Small stand-ins for outside systems: the object API, a model engine, a plain service."""
