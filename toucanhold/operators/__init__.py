"""The operators' interface: authenticated HTTP, and the client that the command line uses."""
