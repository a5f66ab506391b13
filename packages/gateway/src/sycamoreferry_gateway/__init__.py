"""Run an entry instance between callers and backend servers."""
