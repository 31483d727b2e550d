"""Tells a gain from luck: plays the same days and seeds with two checkouts, and pairs them."""
