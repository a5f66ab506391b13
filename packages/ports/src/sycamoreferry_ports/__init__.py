"""Provide clients for the platform and for backend servers."""
