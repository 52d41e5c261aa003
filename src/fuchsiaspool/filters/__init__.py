"""Provide the filters of a chain, which decide about each call in their order."""
