"""Connections to backend servers, directly or through another entry."""
