"""Carry calls over HTTP."""
