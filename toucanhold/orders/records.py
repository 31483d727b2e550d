"""Defines and encodes the claim records of orders in the key-value service."""

import enum
import hashlib

import attrs

from toucanhold import codec
from toucanhold.backends import client
from toucanhold.routing import requests

CLAIMS_PREFIX = "toucanhold/claims/"
RECORD_TAG = "claim-1"
KEPT_BODY_LIMIT_BYTES = 2048


class RecordError(Exception):
    """A stored claim cannot be decoded."""


class ClaimState(enum.Enum):
    """State of an order as recorded by the entry that claimed it.

    ``CLAIMED``: the order may be running; ``RAN``: it ran and was answered; ``UNKNOWN``: it may
    have run, and its answer was lost.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen
class KeptAnswer:
    """An answer stored for repeats of its order.

    :ivar status: HTTP status
    :ivar body: None if the body exceeds ``KEPT_BODY_LIMIT_BYTES``
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


@attrs.frozen
class ClaimRecord:
    """The value of a claim in the key-value service.

    :ivar attempt: unique to the attempt that wrote the claim
    :ivar fingerprint: SHA-256 of the order, to detect another order under the same key
    :ivar entry: name of the entry that holds the claim
    :ivar boot: unique to that entry's process
    :ivar ends_at_s: POSIX time after which the holder no longer waits for an answer
    :ivar answer: the answer; only in state ``RAN``
    """

    attempt: str
    fingerprint: bytes
    entry: str
    boot: str
    ends_at_s: float
    state: ClaimState = ClaimState.CLAIMED
    answer: KeptAnswer | None = None


def claim_key(request: requests.CallerRequest) -> str:
    """Return the key of an order's claim, unique to workspace, service and idempotency key."""
    # Idempotency keys are hashed since they may be long and contain any character. The workspace
    # is part of the hash since two workspaces may use the same key.
    digest = _hash(request.workspace, request.service.name, request.idempotency_key)
    return CLAIMS_PREFIX + digest.hex()


def order_fingerprint(request: requests.CallerRequest) -> bytes:
    """Return the SHA-256 of the order's method, path and body."""
    return _hash(request.method, request.path, request.body)


def keep_answer(status: int, headers: client.Headers, body: bytes) -> KeptAnswer:
    """Return the answer for storage, without a body over ``KEPT_BODY_LIMIT_BYTES``."""
    kept_body = body if len(body) <= KEPT_BODY_LIMIT_BYTES else None
    return KeptAnswer(status, tuple((key, value) for key, value in headers), kept_body)


def encode(record: ClaimRecord) -> bytes:
    """Return the stored bytes of a record."""
    return codec.pack_tagged(RECORD_TAG, record)


def decode(data: bytes) -> ClaimRecord:
    """Return the record of stored bytes.

    :raises RecordError: when they are malformed or have another tag
    """
    try:
        tag, plain = codec.unpack_tagged(data)
        if tag != RECORD_TAG:
            raise RecordError(f"claim tag {tag!r} instead of {RECORD_TAG!r}")
        return codec.from_plain_tolerant(plain, ClaimRecord)
    except codec.CodecError as error:
        raise RecordError(f"malformed claim: {error}") from error


def _hash(*parts: str | bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # Each part is prefixed with its length so that "ab" + "c" and "a" + "bc" differ.
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.digest()
