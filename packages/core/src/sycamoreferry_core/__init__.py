"""Decisions, records and state."""
