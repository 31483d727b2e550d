"""Measurements: each module has ``run(seed) -> list[table.Table]``."""
