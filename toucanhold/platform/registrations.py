"""Parses registrations of backend servers in the store, and their reports."""

from __future__ import annotations

import json
import typing

import trio

from toucanhold.coordination import keyvalue
from toucanhold.registry import servers

PREFIX = "servers/"
STATE_READY = "ready"
STATE_DRAINING = "draining"


def decode(item: keyvalue.Item) -> servers.Server | None:
    """Return the server of a registration, or None where the registration is not usable.

    Other writers use the same prefix, so values may be unreadable, and fields may be missing or
    of another type.
    """
    try:
        fields = json.loads(item.value)
    except (ValueError, RecursionError):
        return None
    return from_fields(item.key.removeprefix(PREFIX), fields)


def from_fields(server_id: str, fields: typing.Any) -> servers.Server | None:
    """Return a server from the fields of a registration or report, or None if not usable."""
    if not isinstance(fields, dict) or fields.get("state") not in (STATE_READY, STATE_DRAINING):
        return None
    texts = [fields.get(name) for name in ("service", "address", "zone")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    service, address, zone = texts
    cold_left_ms = _number(fields.get("cold_left_ms"))
    return servers.Server(
        server_id=server_id,
        born_ms=int(_number(fields.get("born"))),
        service=service,
        address=address,
        zone=zone,
        slots=max(1, int(_number(fields.get("slots")))),
        is_leaving=fields["state"] == STATE_DRAINING,
        # The remaining time counts from the server's write, whose time is unknown; counting from
        # now errs towards a later end.
        cold_until_s=trio.current_time() + cold_left_ms / 1000 if cold_left_ms else 0.0,
        domain=str(fields.get("domain", "")),
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
        group=str(fields["name"]),
        epoch=int(_number(fields.get("epoch"))),
        rank=int(_number(fields.get("rank"))),
        state=state,
    )


def _first_model(models: typing.Any) -> str:
    names = _names(models)
    return names[0] if names else ""


def _names(entries: typing.Any) -> tuple[str, ...]:
    if not isinstance(entries, list):
        return ()
    names = (entry.get("name") if isinstance(entry, dict) else entry for entry in entries)
    return tuple(name for name in names if isinstance(name, str) and name)


def _number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0
    return value
