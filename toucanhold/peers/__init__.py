"""Streams between entries."""
