"""Clients of the platform's key-value service and its VM list, and a mirror of the stored items."""
