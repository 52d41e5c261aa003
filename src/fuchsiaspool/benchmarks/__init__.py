"""Measure overhead and capacity, also against simpler proxies."""
