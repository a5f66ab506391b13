"""The commands of the operators' tool."""
