"""Identifies requests by their content and by the parts that their prompts share with others."""

from __future__ import annotations

import hashlib

import attrs

from toucanhold.gateway import calls

PART_PREFIX = "part-"


@attrs.frozen
class Signature:
    """What identifies a request.

    :ivar request: hash of its content, the same for each retry of it
    :ivar parts: keys of the parts that other prompts may share, in order
    """

    request: str
    parts: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys, the one of the request first."""
        return self.request, *self.parts


def of_call(call: calls.Call, workspace: str) -> Signature:
    """Return the signature of a call."""
    parts = tuple(PART_PREFIX + part for part in call.shared_parts)
    return Signature(request_fingerprint(call, workspace), parts)


def request_fingerprint(call: calls.Call, workspace: str) -> str:
    """Return a hash of the request's content and workspace as hexadecimal digits.

    Call IDs are left out, so that retries of a request have the same fingerprint.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method.encode(), call.target, workspace.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def is_part(key: str) -> bool:
    """Return whether a key identifies a part of prompts."""
    return key.startswith(PART_PREFIX)
