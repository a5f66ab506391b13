"""Define the gRPC messages and clients for calls between instances."""
