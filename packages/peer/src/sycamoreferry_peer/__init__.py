"""Messages between routing instances."""
