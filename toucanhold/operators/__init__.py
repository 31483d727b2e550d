"""The operators' authenticated HTTP interface and the client that the command line uses."""
