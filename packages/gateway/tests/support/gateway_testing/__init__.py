"""Provide parts that several tests of the gateway share."""
