"""Decide about one call each, in chain order."""
