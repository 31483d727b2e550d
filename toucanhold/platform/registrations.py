"""What backend servers write of themselves into the store, and tell in reports."""

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
    """Return the server of one registration, or None where it names none to use.

    Other writers put entries there too: with fields missing or of another type, or unreadable.
    """
    try:
        plain = json.loads(item.value)
    except (ValueError, RecursionError):
        return None
    return from_plain(item.key.removeprefix(PREFIX), plain)


def from_plain(server_id: str, plain: typing.Any) -> servers.Server | None:
    """Return a server from the fields of a registration, or None where they are not usable."""
    if not isinstance(plain, dict) or plain.get("state") not in (STATE_READY, STATE_DRAINING):
        return None
    texts = [plain.get(name) for name in ("service", "address", "zone")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    service, address, zone = texts
    cold_left_ms = _number(plain.get("cold_left_ms"))
    return servers.Server(
        server_id=server_id,
        born_ms=int(_number(plain.get("born"))),
        service=service,
        address=address,
        zone=zone,
        slots=max(1, int(_number(plain.get("slots")))),
        is_leaving=plain["state"] == STATE_DRAINING,
        # The time left counts from when the server wrote, which is unknown: from now is later.
        cold_until_s=trio.current_time() + cold_left_ms / 1000 if cold_left_ms else 0.0,
        domain=str(plain.get("domain", "")),
        model=_first_model(plain.get("models")),
        staged=_names(plain.get("staged")),
        membership=_membership(plain.get("group")),
    )


def _membership(plain: typing.Any) -> servers.Membership | None:
    if not isinstance(plain, dict) or not plain.get("name"):
        return None
    try:
        state = servers.GroupState(plain.get("state"))
    except ValueError:
        return None
    return servers.Membership(
        group=str(plain["name"]),
        epoch=int(_number(plain.get("epoch"))),
        rank=int(_number(plain.get("rank"))),
        state=state,
    )


def _first_model(plain: typing.Any) -> str:
    names = _names(plain)
    return names[0] if names else ""


def _names(plain: typing.Any) -> tuple[str, ...]:
    if not isinstance(plain, list):
        return ()
    found = (each.get("name") if isinstance(each, dict) else each for each in plain)
    return tuple(name for name in found if isinstance(name, str) and name)


def _number(plain: typing.Any) -> float:
    if isinstance(plain, bool) or not isinstance(plain, int | float):
        return 0
    return plain
