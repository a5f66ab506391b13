"""Run many instances and servers in one process, under injected faults."""
