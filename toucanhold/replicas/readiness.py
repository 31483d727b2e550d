"""Estimates how long a backend server takes to join a group of a model."""

from __future__ import annotations

from toucanhold.registry import servers
from toucanhold.routes import table

# Time to join a group of the model that the server has in memory.
REJOIN_TIME_S = 0.2


def join_time_s(server: servers.Server, model: table.Model) -> float:
    """Return the time in seconds that the server takes to join a group of the model."""
    if server.model == model.name:
        return REJOIN_TIME_S
    return model.warm_s if model.name in server.staged else model.load_s


def has_model(server: servers.Server, model: table.Model) -> bool:
    """Return whether the server has the model in memory or staged on its host."""
    return server.model == model.name or model.name in server.staged
