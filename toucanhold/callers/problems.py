"""Encodes errors as problem details (RFC 9457)."""

import json
import math

from toucanhold.routing import requests

CONTENT_TYPE = b"application/problem+json"
TYPE_PREFIX = "urn:toucanhold:problem:"


def body(error: requests.RequestError, request_id: str) -> bytes:
    """Return the problem details of an error as JSON."""
    details = {
        "type": TYPE_PREFIX + error.problem.slug,
        "title": error.problem.title,
        "status": error.problem.status,
        "detail": error.detail,
        "instance": f"urn:toucanhold:request:{request_id}",
        "outcome": error.outcome.value,
    }
    if error.retry_after_s is not None:
        details["retry_after_s"] = round(error.retry_after_s, 3)
    if error.entry_address:
        details["entry_address"] = error.entry_address
    return json.dumps(details).encode()


def headers(error: requests.RequestError) -> list[tuple[bytes, bytes]]:
    """Return the response headers of an error."""
    fields = [(b"content-type", CONTENT_TYPE)]
    if error.retry_after_s is not None:
        # Rounded up, because a caller that retries too early is refused again.
        fields.append((b"retry-after", str(max(1, math.ceil(error.retry_after_s))).encode()))
    return fields
