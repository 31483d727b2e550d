"""Adapter to the users' platform: settings, store, backend servers and callers' HTTP interface.

Nothing outside this package knows the platform's paths, headers, keys or field names.
"""
