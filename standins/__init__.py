"""Small stand-ins of the outside systems that toucanhold works with."""
