"""Experiments on the decisions under load, on a virtual clock."""
