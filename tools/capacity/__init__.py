"""Measures costs per VM and entry and extrapolates them: ``python -m tools.capacity``."""
