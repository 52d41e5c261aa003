"""Replay traces on a virtual clock and check their stated outcomes."""
