"""Route requests from callers to backend servers."""
