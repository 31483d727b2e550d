"""Measurements; each module provides ``run(seed) -> list[table.Table]``."""
