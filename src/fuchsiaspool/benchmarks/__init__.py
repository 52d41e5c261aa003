"""Measure the product against its own earlier or simpler forms."""
