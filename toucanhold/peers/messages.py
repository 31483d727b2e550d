"""Defines and encodes the messages between entries."""

import attrs

from toucanhold import codec
from toucanhold.configuration import holds, snapshot
from toucanhold.membership import facts as entry_facts
from toucanhold.plans import plan

PROTOCOL_VERSION = 1


@attrs.frozen
class Hello:
    """The first message of each side of a stream.

    :ivar protocol: version of the protocol between entries
    :ivar entry: name of the sender
    :ivar boot: unique to the sender's process
    :ivar challenge: 32 random bytes that the other side's proof must cover
    """

    protocol: int
    entry: str
    boot: str
    challenge: bytes


@attrs.frozen
class Proof:
    """Proves that the sender has the shared key.

    :ivar mac: HMAC-SHA-256 over the sender's role and both hellos
    """

    mac: bytes


@attrs.frozen
class Heartbeat:
    """Sent periodically; a stream without heartbeats is closed.

    :ivar configuration: number of the configuration in force at the sender
    :ivar plan_revision: highest revision of the plan known to the sender
    :ivar plan_digest: CRC-32 of the revisions of all domains; equal if both know the same plan
    :ivar facts: facts about entries that changed since the sender's last heartbeat
    """

    configuration: int = 0
    plan_revision: int = 0
    plan_digest: int = 0
    facts: tuple[entry_facts.EntryFact, ...] = ()


@attrs.frozen
class ConfigurationAsk:
    """Requests the changes of the configuration since number ``known``.

    :ivar known: number of the configuration at the sender; 0 requests all parts
    """

    known: int


@attrs.frozen
class ConfigurationNews:
    """The changes of the configuration that the receiver requested."""

    delta: snapshot.Delta


@attrs.frozen
class DomainRevision:
    """The revision of the plan of one domain."""

    domain: str
    revision: int


@attrs.frozen
class PlanAsk:
    """Requests the plans of all domains that are later than in ``known`` or missing from it."""

    known: tuple[DomainRevision, ...]


@attrs.frozen
class PlanNews:
    """The plans of domains that the receiver requested."""

    plans: tuple[plan.VersionedDomainPlan, ...]


@attrs.frozen
class HoldNews:
    """Holds that are in force at the sender."""

    holds: tuple[holds.Hold, ...]


@attrs.frozen
class StepDownAsk:
    """Asks the receiver whether it may still act as planner of a term."""

    term: plan.Term


@attrs.frozen
class StepDownAnswer:
    """The sender can no longer act as planner of a term.

    :ivar fencing: fencing number of the term
    """

    fencing: int


@attrs.frozen
class GenerationEnded:
    """The sender observed that a member left a generation of a group."""

    group: str
    generation: int


@attrs.frozen
class IncidentNews:
    """The connection to a backend server failed while a request ran on it.

    :ivar fingerprint: hash of the request
    :ivar boot_id: unique to the backend server's process
    :ivar company: number of requests that ran there at that time, including this one
    :ivar alone: whether the request ran in isolation on the backend server
    :ivar verdict: ``pending``, ``died`` or ``dismissed``
    """

    fingerprint: bytes
    vm: str
    boot_id: str
    company: int
    alone: bool
    verdict: str


@attrs.frozen
class ClearedNews:
    """A suspected request ran to completion.

    :ivar fingerprint: hash of the request
    """

    fingerprint: bytes


@attrs.frozen
class IsolationNews:
    """A backend server is reserved for an isolated request and gets no other work.

    :ivar for_s: duration of the isolation; 0 ends it
    """

    vm: str
    for_s: float


@attrs.frozen
class IsolationConfirmed:
    """The sender sends no further requests to a backend server that the receiver reserved."""

    vm: str


Message = object

# All messages between entries. The name of a class is the kind of the message on the wire.
KINDS: tuple[type, ...] = (
    Hello,
    Proof,
    Heartbeat,
    ConfigurationAsk,
    ConfigurationNews,
    PlanAsk,
    PlanNews,
    HoldNews,
    StepDownAsk,
    StepDownAnswer,
    GenerationEnded,
    IncidentNews,
    ClearedNews,
    IsolationNews,
    IsolationConfirmed,
)

_CLASS_BY_KIND = {kind.__name__: kind for kind in KINDS}


class MessageError(Exception):
    """A frame body is not a valid message, or a message cannot be encoded."""


class UnknownKindError(MessageError):
    """The message's kind is unknown to this version."""


def encode(message: Message) -> bytes:
    """Return the frame body of a message.

    :raises MessageError: when its class is not listed in ``KINDS``
    """
    kind = type(message).__name__
    if _CLASS_BY_KIND.get(kind) is not type(message):
        raise MessageError(f"{kind} is not listed in KINDS")
    return codec.pack_tagged(kind, message)


def decode(body: bytes) -> Message:
    """Return the message of a frame body.

    :raises UnknownKindError: when the kind is not listed in ``KINDS``
    :raises MessageError: when the body is malformed
    """
    try:
        kind, plain = codec.unpack_tagged(body)
        if kind not in _CLASS_BY_KIND:
            raise UnknownKindError(f"unknown kind {kind!r}")
        return codec.from_plain_tolerant(plain, _CLASS_BY_KIND[kind])
    except codec.CodecError as error:
        raise MessageError(str(error)) from error
