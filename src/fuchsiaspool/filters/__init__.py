"""Provide the filters of a chain; each one decides about a call."""
