"""This entry's observations of backend servers, each with its time."""
