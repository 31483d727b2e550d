"""Measures slopes on one machine and works out the two-year size: ``python -m tools.capacity``."""
