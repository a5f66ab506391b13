"""Decide which backend server owns which range of keys."""
