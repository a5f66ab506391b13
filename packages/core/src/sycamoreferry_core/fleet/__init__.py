"""Track the backend servers and the instances that are alive."""
