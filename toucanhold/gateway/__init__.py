"""Serving requests of routes on backend servers that register themselves."""
