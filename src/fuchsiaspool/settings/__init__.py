"""Read, validate and publish settings."""
