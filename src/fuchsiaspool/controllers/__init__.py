"""Hold the state that filters decide by."""
