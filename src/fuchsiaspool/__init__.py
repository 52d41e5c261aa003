"""Control overload across service call graphs."""
