"""Run protected operations at most once."""
