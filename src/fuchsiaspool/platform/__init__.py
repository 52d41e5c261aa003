"""Implement the node's side of the platform's protocols."""
