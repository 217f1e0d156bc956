"""Stand-ins for external systems: object API, model engine, plain service, users' platform."""
