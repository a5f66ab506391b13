"""Decide how requests are routed, held, limited and repeated."""
