"""Ports to the platform and to backend servers."""
