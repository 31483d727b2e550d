"""Backend servers that register themselves, and what is known of each."""
