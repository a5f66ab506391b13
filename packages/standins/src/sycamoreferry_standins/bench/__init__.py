"""Experiments that print a table and write JSON."""
