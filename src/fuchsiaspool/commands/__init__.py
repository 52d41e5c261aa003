"""Provide the entry points of the command-line programs."""
