"""Routes of callers' requests, services and workspaces."""
