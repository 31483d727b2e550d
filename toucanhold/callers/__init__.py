"""The callers' HTTP interface: OpenAI-compatible paths, plain services and the directory."""
