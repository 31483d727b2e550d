"""Admits requests, chooses backend servers and forwards their answers to callers."""
