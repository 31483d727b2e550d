"""Orders: calls that may not be repeated and run at most once."""
