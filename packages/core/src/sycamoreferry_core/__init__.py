"""Routing and coordination logic without input or output."""
