"""What entries tell each other."""

import attrs

from toucanhold import codec
from toucanhold.configuration import holds, snapshot
from toucanhold.membership import facts as entry_facts
from toucanhold.plans import plan

PROTOCOL_VERSION = 1


@attrs.frozen
class Hello:
    """The first frame of each side of a stream.

    :ivar protocol: version of the protocol between entries
    :ivar entry: the sender's name
    :ivar boot: unique to the sender's process
    :ivar challenge: random bytes that the other side's proof must cover
    """

    protocol: int
    entry: str
    boot: str
    challenge: bytes


@attrs.frozen
class Proof:
    """Shows that the sender has the shared key."""

    mac: bytes


@attrs.frozen
class Heartbeat:
    """Sent at an interval; its silence ends a stream.

    :ivar configuration: number of the configuration in force at the sender
    :ivar plan_revision: highest revision of the plan that the sender knows
    :ivar plan_digest: of the revisions of all domains: equal where both know the same plan
    :ivar facts: what changed in the sender's knowledge of entries since its last heartbeat
    """

    configuration: int = 0
    plan_revision: int = 0
    plan_digest: int = 0
    facts: tuple[entry_facts.EntryFact, ...] = ()


@attrs.frozen
class ConfigurationAsk:
    """Asks for what a reader at number ``known`` lacks."""

    known: int


@attrs.frozen
class ConfigurationNews:
    """A part of the configuration that the receiver lacks."""

    delta: snapshot.Delta


@attrs.frozen
class DomainRevision:
    """The revision of one domain's plan."""

    domain: str
    revision: int


@attrs.frozen
class PlanAsk:
    """Asks for the plans of all domains that are later than ``known``, or missing there."""

    known: tuple[DomainRevision, ...]


@attrs.frozen
class PlanNews:
    """Plans that the receiver lacks."""

    plans: tuple[plan.VersionedDomainPlan, ...]


@attrs.frozen
class HoldNews:
    """Holds in force at the sender."""

    holds: tuple[holds.Hold, ...]


@attrs.frozen
class StepDownAsk:
    """Asks the receiver whether it can still act as planner of a term."""

    term: plan.Term


@attrs.frozen
class StepDownAnswer:
    """The sender cannot act as planner of this term any more."""

    fencing: int


@attrs.frozen
class GenerationEnded:
    """The sender saw a member leave this generation of a group."""

    group: str
    generation: int


@attrs.frozen
class IncidentNews:
    """A request was lost with its connection to a backend server.

    :ivar fingerprint: hash of the request
    :ivar company: requests that ran there at that time
    :ivar alone: whether the backend server was kept free for it
    :ivar verdict: "pending", "died" or "dismissed"
    """

    fingerprint: bytes
    vm: str
    boot_id: str
    company: int
    alone: bool
    verdict: str


@attrs.frozen
class ClearedNews:
    """A suspected request ran whole."""

    fingerprint: bytes


@attrs.frozen
class IsolationNews:
    """A backend server is to get no other work for a time; none to end that."""

    vm: str
    for_s: float


Message = object

# Each message between entries is listed here once; its class name is its kind on the wire.
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
)

_BY_NAME = {kind.__name__: kind for kind in KINDS}


class MessageError(Exception):
    """A frame that is no message."""


class UnknownKindError(MessageError):
    """A message of a kind that this version does not know."""


def encode(message: Message) -> bytes:
    """Return the frame body of a message.

    :raises MessageError: when its class is not listed
    """
    kind = type(message).__name__
    if _BY_NAME.get(kind) is not type(message):
        raise MessageError(f"{kind} is not listed in KINDS")
    return codec.pack_tagged(kind, message)


def decode(body: bytes) -> Message:
    """Return the message of a frame body.

    :raises UnknownKindError: when the kind is not known
    :raises MessageError: when the body is malformed
    """
    try:
        kind, plain = codec.unpack_tagged(body)
        if kind not in _BY_NAME:
            raise UnknownKindError(f"unknown kind {kind!r}")
        return codec.from_plain_tolerant(plain, _BY_NAME[kind])
    except codec.CodecError as error:
        raise MessageError(str(error)) from error
