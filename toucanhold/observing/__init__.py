"""What this entry has seen of backend servers, each fact with its age."""
