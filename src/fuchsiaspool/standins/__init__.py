"""Stand in for the platform and for backend servers."""
