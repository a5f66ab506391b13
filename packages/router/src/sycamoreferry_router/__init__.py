"""The routing instance."""
