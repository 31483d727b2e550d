"""The operators' configuration, and the zones they have taken out."""

from __future__ import annotations

import json
import typing

from toucanhold.coordination import keyvalue
from toucanhold.routes import table

PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
STREAMING = "streaming"
IDEMPOTENT = "idempotent"
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_IDLE_TIMEOUT_S = 15.0


class ConfigurationError(Exception):
    """A configuration cannot be read."""


def decode(item: keyvalue.Item) -> table.RouteTable:
    """Return the routes, services and workspaces of a configuration.

    :raises ConfigurationError: when it cannot be read
    """
    try:
        return _table(json.loads(item.value))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}") from error


def _table(plain: dict[str, typing.Any]) -> table.RouteTable:
    routes: dict[str, dict[str, table.Route]] = {}
    for each in plain["routes"]:
        route = _route(each)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = {each["name"]: _service(each) for each in plain["services"]}
    tenants = plain.get("tenants") or []
    workspaces = {
        key: table.Workspace(tenant["name"], tenant.get("priority"))
        for tenant in tenants
        for key in tenant.get("api_keys") or ()
    }
    return table.RouteTable(
        version=int(plain["version"]),
        routes=routes,
        services=services,
        workspaces=workspaces,
        has_workspaces=bool(tenants),
        limits=_limits(plain.get("limits") or {}),
    )


def _route(plain: dict[str, typing.Any]) -> table.Route:
    # A route names either one service or a split.
    split = plain.get("split") or [{"service": plain["service"], "weight": 1}]
    shares = tuple(table.ServiceShare(each["service"], each["weight"]) for each in split)
    is_stream = plain["kind"] == STREAMING
    timeout_s = plain["timeout_ms"] / 1000
    return table.Route(
        name=plain["name"],
        host=plain["host"].lower(),
        prefix=plain["path_prefix"],
        split=tuple(share for share in shares if share.weight > 0) or shares,
        repeatability=_repeatability(plain),
        is_stream=is_stream,
        attempts=int(plain.get("attempts") or 1),
        timeout_s=timeout_s,
        objective_s=(plain.get("goal_ms") or plain["timeout_ms"]) / 1000,
        gap_objective_s=(plain.get("gap_target_ms") or plain["timeout_ms"]) / 1000,
        rank=int(plain.get("priority") or 0),
        is_public=bool(plain.get("public")),
    )


def _repeatability(plain: dict[str, typing.Any]) -> table.Repeatability:
    if plain["kind"] == STREAMING and plain.get("resumable"):
        return table.Repeatability.RESUMABLE
    if plain["kind"] == IDEMPOTENT:
        return table.Repeatability.IDEMPOTENT
    return table.Repeatability.ONCE


def _service(plain: dict[str, typing.Any]) -> table.Service:
    engine = plain.get("engine")
    return table.Service(
        name=plain["name"],
        cold_requests_per_s=plain.get("cold_per_s") or 0.0,
        engine=_engine(engine) if engine and engine.get("models") else None,
    )


def _engine(plain: dict[str, typing.Any]) -> table.Engine:
    return table.Engine(
        models=tuple(_model(each) for each in plain["models"]),
        slots=int(plain["slots"]),
        memory_tokens=int(plain.get("kv_capacity") or 0),
        step_s=(plain.get("step_ms") or 0) / 1000,
        stride=int(plain.get("stride") or 1),
        prefill_tokens_per_s=plain.get("read_per_s") or 0.0,
        form_s=(plain.get("form_ms") or 0) / 1000,
        loads_per_s=plain.get("loads_per_s") or 0.0,
        loads_at_once=int(plain.get("loads_at_once") or 1),
        step_per_request_s=(plain.get("per_seq_ms") or 0) / 1000,
        prefill_step_tokens=int(plain.get("chunk") or 0),
    )


def _model(plain: dict[str, typing.Any]) -> table.Model:
    return table.Model(
        name=plain["name"],
        size=int(plain.get("size") or 1),
        share=plain.get("share") or 0.0,
        pace=plain.get("pace") or 1.0,
        load_s=plain.get("load_s") or 0.0,
        warm_s=plain.get("warm_s") or 0.0,
    )


def _limits(plain: dict[str, typing.Any]) -> table.Limits:
    return table.Limits(
        header_bytes=plain.get("max_header_bytes") or DEFAULT_HEADER_BYTES,
        body_bytes=plain.get("max_body_bytes") or DEFAULT_BODY_BYTES,
        idle_timeout_s=(plain.get("idle_timeout_ms") or DEFAULT_IDLE_TIMEOUT_S * 1000) / 1000,
    )
