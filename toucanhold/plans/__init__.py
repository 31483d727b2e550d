"""The plan: its stored records, and this entry's copy of them."""
