"""Parses registrations of backend servers in the store, and their reports."""

from __future__ import annotations

import typing

import trio

from toucanhold import parsing
from toucanhold.coordination import keyvalue
from toucanhold.registry import servers

PREFIX = "servers/"
STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 24 * 3600 * 1000.0


def decode(item: keyvalue.Item) -> servers.Server | None:
    """Return the server of a registration, or None where the registration is not usable.

    Other writers use the same prefix, so values may be unreadable, and fields may be missing or
    of another type.
    """
    try:
        server_id = parsing.name(item.key.removeprefix(PREFIX))
        return _parse(server_id, parsing.load_json(item.value))
    except parsing.ParseError:
        return None


def from_fields(server_id: str, fields: typing.Any) -> servers.Server | None:
    """Return a server from the fields of a registration or report, or None if not usable."""
    try:
        return _parse(server_id, fields)
    except parsing.ParseError:
        return None


def _parse(server_id: str, fields: typing.Any) -> servers.Server:
    if not isinstance(fields, dict) or fields.get("state") not in (STATE_READY, STATE_DRAINING):
        raise parsing.ParseError("expected an object with a known state")
    cold_left_ms = _number(fields, "cold_left_ms", MAX_COLD_MS)
    return servers.Server(
        server_id=server_id,
        born_ms=int(_number(fields, "born", parsing.MAX_NUMBER)),
        service=parsing.name(fields.get("service")),
        address=parsing.ip_address(fields.get("address")),
        zone=parsing.name(fields.get("zone")),
        slots=max(1, int(_number(fields, "slots", MAX_SLOTS))),
        is_leaving=fields["state"] == STATE_DRAINING,
        # The remaining time counts from the server's write, whose time is unknown; counting from
        # now errs towards a later end.
        cold_until_s=trio.current_time() + cold_left_ms / 1000 if cold_left_ms else 0.0,
        domain=parsing.name(fields["domain"]) if fields.get("domain") else "",
        model=_first_model(fields.get("models")),
        staged=_names(fields.get("staged")),
        membership=_membership(fields.get("group")),
    )


def _membership(fields: typing.Any) -> servers.Membership | None:
    if not isinstance(fields, dict) or not fields.get("name"):
        return None
    try:
        state = servers.GroupState(fields.get("state"))
    except ValueError:
        return None
    return servers.Membership(
        group=parsing.name(fields["name"]),
        epoch=int(_number(fields, "epoch", parsing.MAX_NUMBER)),
        rank=int(_number(fields, "rank", MAX_SLOTS)),
        state=state,
    )


def _first_model(models: typing.Any) -> str:
    names = _names(models)
    return names[0] if names else ""


def _names(entries: typing.Any) -> tuple[str, ...]:
    if not isinstance(entries, list):
        return ()
    names = (entry.get("name") if isinstance(entry, dict) else entry for entry in entries)
    return tuple(parsing.name(name) for name in names if isinstance(name, str) and name)


def _number(fields: dict[str, typing.Any], name: str, maximum: float) -> float:
    """Return the number in a field; 0 where the field is missing or of another type.

    :raises parsing.ParseError: when the number is out of bounds
    """
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0
    return parsing.number(value, 0, maximum)
