"""Registrations of backend servers and the states that the servers report."""
