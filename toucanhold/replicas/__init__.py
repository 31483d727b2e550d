"""Replicas of model services: groups of backend servers that together run one model."""
