"""Decisions: pure functions and state machines over attrs values and a time."""
