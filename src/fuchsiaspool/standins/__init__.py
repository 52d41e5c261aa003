"""Provide stand-ins for the platform, for backend servers and for the network."""
