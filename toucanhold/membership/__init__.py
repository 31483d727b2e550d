"""Which entries there are: each one's record under a lease in the key-value service."""
