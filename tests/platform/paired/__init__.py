"""Compares two checkouts by paired runs of the same days and seeds."""
