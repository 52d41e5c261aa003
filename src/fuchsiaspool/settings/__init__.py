"""Read, check and agree on settings."""
