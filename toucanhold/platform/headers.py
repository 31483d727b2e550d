"""Names of the platform's HTTP headers, and filters for the headers that are forwarded."""

from __future__ import annotations

import collections.abc

from toucanhold import parsing

# Identifies one attempt; a caller's repeat of the same request has another identifier.
CALL_ID = b"x-attempt-id"
REMAINING_MS = b"x-deadline-remaining-ms"
TARGET_INSTANCE = b"x-target-instance"
# The platform calls a workspace a tenant.
WORKSPACE = b"x-tenant"
API_KEY = b"x-credential"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"x-model"
# Numbers of tokens: of the prompt, and the maximum of the answer, separated by a comma.
TOKEN_USAGE = b"x-token-usage"
# Parts of the prompt in order, each as its hexadecimal ID, a colon and its number of tokens.
PROMPT_PARTS = b"x-prompt-prefix"
# Estimated number of tokens of the answer: right at the median, but often far off.
LENGTH_HINT = b"x-length-hint"
# 0 is the most urgent; an engine admits requests without the header like those with 5.
URGENCY = b"x-request-urgency"
# Signature of an answer by the backend server.
SIGNATURE = b"x-server-seal"
NOT_RUN = b"x-not-executed"
# Identifier of the group member that prevents the head from serving.
AT_FAULT = b"at-server"
# Requests per second that a backend server takes from all entries together.
RATE_LIMIT = b"server-limit"
# Sent by a draining backend server in all its answers.
LEAVING = b"server-leaving"
# Seconds for which this entry must not send to a backend server that refuses a request.
RETRY_AFTER = b"retry-after"

HOP_BY_HOP_HEADERS = frozenset(
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
# Replaced or dropped in requests to backend servers, whatever the caller sent.
REPLACED_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"expect",
        CALL_ID,
        REMAINING_MS,
        TARGET_INSTANCE,
        WORKSPACE,
        API_KEY,
        LAST_EVENT_ID,
        URGENCY,
    )
)

HeaderLines = collections.abc.Iterable[tuple[bytes, bytes]]


def find(lines: HeaderLines, name: bytes) -> str:
    """Return the first value of the header ``name`` (lower case), or an empty string."""
    return find_optional(lines, name) or ""


def find_optional(lines: HeaderLines, name: bytes) -> str | None:
    """Return the first value of the header ``name`` (lower case), or None without the header."""
    for key, value in lines:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def is_framed(lines: HeaderLines) -> bool:
    """Return whether a response's headers say where its body ends."""
    return any(key.lower() in (b"content-length", b"transfer-encoding") for key, _ in lines)


def body_length(lines: HeaderLines) -> int | None:
    """Return the length of a response's body, or None where its headers do not say."""
    return parsing.digits(find(lines, b"content-length").strip())


def headers_to_forward(lines: HeaderLines) -> tuple[tuple[bytes, bytes], ...]:
    """Return the caller's headers that are forwarded unchanged, with names in lower case."""
    normalized = [(key.lower(), value) for key, value in lines]
    dropped = HOP_BY_HOP_HEADERS | REPLACED_HEADERS | _named_by_connection(normalized)
    return tuple((key, value) for key, value in normalized if key not in dropped)


def end_to_end(lines: HeaderLines) -> tuple[tuple[bytes, bytes], ...]:
    """Return the server's headers that are forwarded unchanged; content-length is set anew."""
    normalized = [(key.lower(), value) for key, value in lines]
    dropped = HOP_BY_HOP_HEADERS | {b"content-length"} | _named_by_connection(normalized)
    return tuple((key, value) for key, value in normalized if key not in dropped)


def _named_by_connection(lines: list[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        token.strip().lower()
        for key, value in lines
        if key == b"connection"
        for token in value.split(b",")
    }
