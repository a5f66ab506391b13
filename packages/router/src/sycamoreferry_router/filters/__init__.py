"""Filters that a request passes, in the order of pipeline.py."""
