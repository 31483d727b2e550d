"""Routes of callers' requests, model services and workspaces."""
