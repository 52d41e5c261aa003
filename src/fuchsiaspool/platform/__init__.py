"""Talk to the platform's object service."""
