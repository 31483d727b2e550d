"""Executes orders, the non-idempotent requests of callers, at most once each."""
