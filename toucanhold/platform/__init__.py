"""The users' platform: its settings, store, backend servers and callers.

Nothing outside this package knows the platform's paths, headers, keys or field names.
"""
