"""Replay recorded traces on a paused clock and judge the outcomes."""
