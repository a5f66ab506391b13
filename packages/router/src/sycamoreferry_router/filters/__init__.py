"""Request filters, applied in the order that pipeline.py defines."""
