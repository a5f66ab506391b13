"""Know the backend servers and the instances that are alive."""
