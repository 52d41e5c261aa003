"""Translate between the platform's formats and the node's types."""
