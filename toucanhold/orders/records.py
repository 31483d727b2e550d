"""What the key-value service keeps of an order."""

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
    """A stored claim is not readable."""


class ClaimState(enum.Enum):
    """What the holder of a claim has said about its order."""

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen
class KeptAnswer:
    """An answer as it is kept for repeats.

    :ivar body: None where it was too large to be kept
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | None = None


@attrs.frozen
class ClaimRecord:
    """The value of a claim.

    :ivar attempt: unique to the attempt that wrote it
    :ivar fingerprint: hash of the order itself, to tell another order with the same key
    :ivar entry: the entry that holds the claim
    :ivar boot: unique to that entry's process
    :ivar ends_at_s: POSIX time after which its holder no longer waits for an answer
    :ivar answer: the answer, in state RAN
    """

    attempt: str
    fingerprint: bytes
    entry: str
    boot: str
    ends_at_s: float
    state: ClaimState = ClaimState.CLAIMED
    answer: KeptAnswer | None = None


def key_of(request: requests.CallerRequest) -> str:
    """Return the key of an order's claim: one for each workspace, service and idempotency key."""
    # Callers' keys may hold any character and be long, and two workspaces may use the same one.
    digest = _hash(request.workspace, request.service.name, request.idempotency_key)
    return CLAIMS_PREFIX + digest.hex()


def fingerprint_of(request: requests.CallerRequest) -> bytes:
    """Return a hash of what the order does."""
    return _hash(request.method, request.path, request.body)


def keep(status: int, headers: client.Headers, body: bytes) -> KeptAnswer:
    """Return the answer as it is kept."""
    kept = body if len(body) <= KEPT_BODY_LIMIT_BYTES else None
    return KeptAnswer(status, tuple((key, value) for key, value in headers), kept)


def encode(record: ClaimRecord) -> bytes:
    """Return the stored form."""
    return codec.pack_tagged(RECORD_TAG, record)


def decode(data: bytes) -> ClaimRecord:
    """Read the stored form.

    :raises RecordError: when it is malformed
    """
    try:
        tag, plain = codec.unpack_tagged(data)
        if tag != RECORD_TAG:
            raise RecordError(f"a claim of an unknown kind {tag!r}")
        return codec.from_plain_tolerant(plain, ClaimRecord)
    except codec.CodecError as error:
        raise RecordError(f"malformed claim: {error}") from error


def _hash(*parts: str | bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # The length goes before each part: "ab" + "c" must not hash like "a" + "bc".
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.digest()
