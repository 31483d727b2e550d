"""Connects entries by authenticated streams and exchanges state over them."""
