"""The callers' interface: OpenAI-compatible paths, plain services, and the directory."""
