"""The plan as it is stored and told: records, and what an entry knows of them."""
