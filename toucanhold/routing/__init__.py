"""Admits requests, chooses backend servers and passes answers on."""
