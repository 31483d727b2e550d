"""How fast a backend server can join a group of a model."""

from __future__ import annotations

from toucanhold.registry import servers
from toucanhold.routes import table

# Seconds to join with the model of the last group.
REJOIN_TIME_S = 0.2


def join_time_s(server: servers.Server, model: table.Model) -> float:
    """Return how long the server takes to join a group of the model, in seconds."""
    if server.model == model.name:
        return REJOIN_TIME_S
    return model.warm_s if model.name in server.staged else model.load_s


def has_model(server: servers.Server, model: table.Model) -> bool:
    """Tell whether the server joins without a load from the weight store."""
    return server.model == model.name or model.name in server.staged
