"""Routes callers' requests to backend servers that register themselves."""
