"""Parses the operators' configuration and names the keys of evacuated availability zones."""

from __future__ import annotations

import typing

from toucanhold import parsing
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
        return _parse_route_table(parsing.load_json(item.value))
    except (parsing.ParseError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}") from error


def _parse_route_table(fields: dict[str, typing.Any]) -> table.RouteTable:
    routes: dict[str, dict[str, table.Route]] = {}
    for route_fields in fields["routes"]:
        route = _parse_route(route_fields)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = [_parse_service(service) for service in fields["services"]]
    tenants = fields.get("tenants") or []
    workspaces = {
        parsing.name(key): _parse_workspace(tenant)
        for tenant in tenants
        for key in tenant.get("api_keys") or ()
    }
    return table.RouteTable(
        version=parsing.whole(fields["version"]),
        routes=routes,
        services={service.name: service for service in services},
        workspaces=workspaces,
        has_workspaces=bool(tenants),
        limits=_parse_limits(fields.get("limits") or {}),
    )


def _parse_workspace(fields: dict[str, typing.Any]) -> table.Workspace:
    priority = fields.get("priority")
    return table.Workspace(
        parsing.name(fields["name"]), parsing.whole(priority) if priority is not None else None
    )


def _parse_route(fields: dict[str, typing.Any]) -> table.Route:
    # A route names either one service or a weighted list of services.
    weighted_services = fields.get("split") or [{"service": fields["service"], "weight": 1}]
    shares = tuple(
        table.ServiceShare(parsing.name(share["service"]), parsing.number(share["weight"]))
        for share in weighted_services
    )
    timeout_ms = parsing.number(fields["timeout_ms"])
    return table.Route(
        name=parsing.name(fields["name"]),
        host=parsing.name(fields["host"]).lower(),
        prefix=parsing.name(fields["path_prefix"]),
        service_shares=tuple(share for share in shares if share.weight > 0) or shares[:1],
        repeatability=_parse_repeatability(fields),
        is_stream=fields["kind"] == STREAMING,
        max_attempts=_whole(fields, "attempts", 1),
        timeout_s=timeout_ms / 1000,
        objective_s=_number(fields, "goal_ms", timeout_ms) / 1000,
        gap_objective_s=_number(fields, "gap_target_ms", timeout_ms) / 1000,
        priority=_whole(fields, "priority", 0),
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
        name=parsing.name(fields["name"]),
        cold_requests_per_s=_number(fields, "cold_per_s", 0.0),
        engine=_parse_engine(engine) if engine and engine.get("models") else None,
    )


def _parse_engine(fields: dict[str, typing.Any]) -> table.Engine:
    return table.Engine(
        models=tuple(_parse_model(model) for model in fields["models"]),
        slots=int(parsing.number(fields["slots"])),
        memory_tokens=_whole(fields, "kv_capacity", 0),
        step_s=_number(fields, "step_ms", 0.0) / 1000,
        steps_per_pass=_whole(fields, "stride", 1),
        prefill_tokens_per_s=_number(fields, "read_per_s", 0.0),
        formation_time_s=_number(fields, "form_ms", 0.0) / 1000,
        loads_per_s=_number(fields, "loads_per_s", 0.0),
        max_concurrent_loads=_whole(fields, "loads_at_once", 1),
        step_per_request_s=_number(fields, "per_seq_ms", 0.0) / 1000,
        prefill_step_tokens=_whole(fields, "chunk", 0),
    )


def _parse_model(fields: dict[str, typing.Any]) -> table.Model:
    return table.Model(
        name=parsing.name(fields["name"]),
        size=_whole(fields, "size", 1),
        share=_number(fields, "share", 0.0),
        pace=_number(fields, "pace", 1.0),
        load_s=_number(fields, "load_s", 0.0),
        warm_s=_number(fields, "warm_s", 0.0),
    )


def _parse_limits(fields: dict[str, typing.Any]) -> table.Limits:
    return table.Limits(
        header_bytes=_whole(fields, "max_header_bytes", DEFAULT_HEADER_BYTES),
        body_bytes=_whole(fields, "max_body_bytes", DEFAULT_BODY_BYTES),
        idle_timeout_s=_number(fields, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_S * 1000) / 1000,
    )


def _number(fields: dict[str, typing.Any], name: str, default: float) -> float:
    """Return the number in a field, or the default where it is missing, null or 0."""
    return parsing.number(fields.get(name) or default)


def _whole(fields: dict[str, typing.Any], name: str, default: int) -> int:
    return int(_number(fields, name, default))
