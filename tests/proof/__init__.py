"""Simulation of complete entries on a test clock, among fakes that record a history."""
