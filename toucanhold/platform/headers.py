"""The platform's headers, and what they hold."""

from __future__ import annotations

import collections.abc

# Names one attempt of a caller, not the request that it repeats.
CALL_ID = b"x-attempt-id"
REMAINING_MS = b"x-deadline-remaining-ms"
TARGET_INSTANCE = b"x-target-instance"
# The platform's word for a workspace is tenant.
WORKSPACE = b"x-tenant"
KEY = b"x-credential"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"x-model"
# The server's signature of an answer.
SEAL = b"x-server-seal"
NOT_RUN = b"x-not-executed"
# The member that keeps a group's head from working.
AT_FAULT = b"at-server"

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Set anew towards servers, whatever the caller sent.
OWN_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"expect",
        CALL_ID,
        REMAINING_MS,
        TARGET_INSTANCE,
        WORKSPACE,
        KEY,
        LAST_EVENT_ID,
    )
)

Lines = collections.abc.Iterable[tuple[bytes, bytes]]


def find(lines: Lines, name: bytes) -> str:
    """Return the first value of a header, or an empty string."""
    for key, value in lines:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def forwarded(lines: Lines) -> tuple[tuple[bytes, bytes], ...]:
    """Return what of a caller's headers is passed on as it came."""
    found = [(key.lower(), value) for key, value in lines]
    dropped = CONNECTION_HEADERS | OWN_HEADERS | _named_by_connection(found)
    return tuple((key, value) for key, value in found if key not in dropped)


def end_to_end(lines: Lines) -> tuple[tuple[bytes, bytes], ...]:
    """Return what of a server's headers is passed on as it came; the length is set anew."""
    found = [(key.lower(), value) for key, value in lines]
    dropped = CONNECTION_HEADERS | {b"content-length"} | _named_by_connection(found)
    return tuple((key, value) for key, value in found if key not in dropped)


def _named_by_connection(lines: list[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        token.strip().lower()
        for key, value in lines
        if key == b"connection"
        for token in value.split(b",")
    }
