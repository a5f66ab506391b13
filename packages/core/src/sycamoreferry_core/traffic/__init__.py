"""Decide how requests are routed, queued, limited and retried."""
