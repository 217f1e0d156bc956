"""Forwards callers' HTTP calls to endpoints without an agent beside them."""
