"""Parses the operators' configuration and names the keys of evacuated availability zones."""

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
    """A configuration is not valid JSON, or a field is missing or of the wrong type."""


def decode(item: keyvalue.Item) -> table.RouteTable:
    """Return the routes, services and workspaces of the configuration stored in ``item``.

    :raises ConfigurationError: when the value is malformed
    """
    try:
        return _parse_route_table(json.loads(item.value))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}") from error


def _parse_route_table(fields: dict[str, typing.Any]) -> table.RouteTable:
    routes: dict[str, dict[str, table.Route]] = {}
    for route_fields in fields["routes"]:
        route = _parse_route(route_fields)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = {service["name"]: _parse_service(service) for service in fields["services"]}
    tenants = fields.get("tenants") or []
    workspaces = {
        key: table.Workspace(tenant["name"], tenant.get("priority"))
        for tenant in tenants
        for key in tenant.get("api_keys") or ()
    }
    return table.RouteTable(
        version=int(fields["version"]),
        routes=routes,
        services=services,
        workspaces=workspaces,
        has_workspaces=bool(tenants),
        limits=_parse_limits(fields.get("limits") or {}),
    )


def _parse_route(fields: dict[str, typing.Any]) -> table.Route:
    # A route names either one service or a weighted list of services.
    weighted_services = fields.get("split") or [{"service": fields["service"], "weight": 1}]
    shares = tuple(
        table.ServiceShare(share["service"], share["weight"]) for share in weighted_services
    )
    is_stream = fields["kind"] == STREAMING
    timeout_s = fields["timeout_ms"] / 1000
    return table.Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["path_prefix"],
        service_shares=tuple(share for share in shares if share.weight > 0) or shares,
        repeatability=_parse_repeatability(fields),
        is_stream=is_stream,
        max_attempts=int(fields.get("attempts") or 1),
        timeout_s=timeout_s,
        objective_s=(fields.get("goal_ms") or fields["timeout_ms"]) / 1000,
        gap_objective_s=(fields.get("gap_target_ms") or fields["timeout_ms"]) / 1000,
        priority=int(fields.get("priority") or 0),
        is_public=bool(fields.get("public")),
    )


def _parse_repeatability(fields: dict[str, typing.Any]) -> table.Repeatability:
    if fields["kind"] == STREAMING and fields.get("resumable"):
        return table.Repeatability.RESUMABLE
    if fields["kind"] == IDEMPOTENT:
        return table.Repeatability.IDEMPOTENT
    return table.Repeatability.ONCE


def _parse_service(fields: dict[str, typing.Any]) -> table.Service:
    engine = fields.get("engine")
    return table.Service(
        name=fields["name"],
        cold_requests_per_s=fields.get("cold_per_s") or 0.0,
        engine=_parse_engine(engine) if engine and engine.get("models") else None,
    )


def _parse_engine(fields: dict[str, typing.Any]) -> table.Engine:
    return table.Engine(
        models=tuple(_parse_model(model) for model in fields["models"]),
        slots=int(fields["slots"]),
        memory_tokens=int(fields.get("kv_capacity") or 0),
        step_s=(fields.get("step_ms") or 0) / 1000,
        steps_per_pass=int(fields.get("stride") or 1),
        prefill_tokens_per_s=fields.get("read_per_s") or 0.0,
        formation_time_s=(fields.get("form_ms") or 0) / 1000,
        loads_per_s=fields.get("loads_per_s") or 0.0,
        max_concurrent_loads=int(fields.get("loads_at_once") or 1),
        step_per_request_s=(fields.get("per_seq_ms") or 0) / 1000,
        prefill_step_tokens=int(fields.get("chunk") or 0),
    )


def _parse_model(fields: dict[str, typing.Any]) -> table.Model:
    return table.Model(
        name=fields["name"],
        size=int(fields.get("size") or 1),
        share=fields.get("share") or 0.0,
        pace=fields.get("pace") or 1.0,
        load_s=fields.get("load_s") or 0.0,
        warm_s=fields.get("warm_s") or 0.0,
    )


def _parse_limits(fields: dict[str, typing.Any]) -> table.Limits:
    return table.Limits(
        header_bytes=fields.get("max_header_bytes") or DEFAULT_HEADER_BYTES,
        body_bytes=fields.get("max_body_bytes") or DEFAULT_BODY_BYTES,
        idle_timeout_s=(fields.get("idle_timeout_ms") or DEFAULT_IDLE_TIMEOUT_S * 1000) / 1000,
    )
