"""History of a run as the fakes observed it, the only input of the checks."""

import collections.abc
import typing

import attrs
import trio


@attrs.frozen
class RunStarted:
    """A backend server began to run a request.

    :ivar content: the prompt, the path or the body of the request
    :ivar key: idempotency key of an order
    :ivar running: number of requests it now runs, including this one
    :ivar cold_for_s: time since it turned cold; None if warm
    :ivar bearable: number of requests it can run at once while cold
    :ivar absent_members: VM and time in s since it left, for each member that is not in the group;
        infinite if it never joined
    """

    vm: str
    request_id: str
    content: str
    key: str = ""
    running: int = 1
    cold_for_s: float | None = None
    bearable: int = 1
    group: str = ""
    generation: int = 0
    members: tuple[str, ...] = ()
    absent_members: tuple[tuple[str, float], ...] = ()


@attrs.frozen
class RunEnded:
    """A run ended, complete or not, and no longer occupies the VM's group."""

    vm: str
    request_id: str
    is_complete: bool


@attrs.frozen
class TokenSent:
    """An engine sent a token of a stream."""

    vm: str
    request_id: str
    index: int


@attrs.frozen
class OrderReceived:
    """An engine received an order.

    :ivar fencing: fencing number of the order
    :ivar cut_requests: number of running requests that the order aborted
    """

    vm: str
    order: str
    fencing: int
    is_accepted: bool
    group: str = ""
    cut_requests: int = 0


@attrs.frozen
class Joined:
    """An engine loaded its model and joined a group."""

    vm: str
    group: str
    generation: int


@attrs.frozen
class Committed:
    """A commit to the key-value service.

    :ivar client: the entry that wrote; empty for the expiry of a lease
    :ivar values: new values by key; None for a deleted key
    """

    client: str
    revision: int
    values: typing.Mapping[str, bytes | None]


@attrs.frozen
class RequestSent:
    """A caller sent a request to an entry.

    :ivar kind: ``chat``, ``stream``, ``lookup`` or ``order``
    :ivar name: unique name of the request
    :ivar content: prompt or item; unique to the request, or to the order's key
    """

    name: str
    entry: str
    kind: str
    content: str
    key: str = ""


@attrs.frozen
class FirstPartReceived:
    """A caller received the first part of its response."""

    name: str
    entry: str


@attrs.frozen
class ResponseReceived:
    """A caller received its complete response, or lost its connection.

    :ivar status: HTTP status; 0 if the connection ended before it came
    :ivar is_complete: whether the response ended cleanly
    :ivar outcome: outcome field of a refusal; empty otherwise
    """

    request: RequestSent
    status: int
    is_complete: bool
    body: bytes
    request_id: str = ""
    outcome: str = ""


@attrs.frozen
class ChangeRequested:
    """An operator requested a change from an entry."""

    entry: str


@attrs.frozen
class ChangeCompleted:
    """An operator's change and the entry's response.

    :ivar configuration: number of the accepted configuration; 0 if not accepted
    :ivar zone: availability zone that was taken out or returned; empty for a document
    :ivar out: whether the zone was taken out
    :ivar is_in_force_everywhere: whether the response says that it is in force at each entry
    """

    entry: str
    status: int
    requested_at_s: float
    configuration: int = 0
    zone: str = ""
    out: bool = False
    is_in_force_everywhere: bool = False


@attrs.frozen
class ConfigurationApplied:
    """An entry applied another configuration."""

    entry: str
    process_number: int
    configuration: int
    zones_out: frozenset[str]


@attrs.frozen
class EntryChanged:
    """An entry was started, killed, paused, resumed, told to stop, stopped, or failed.

    :ivar process_number: number of processes with this name so far
    :ivar change: the new state, for example ``started`` or ``broke down``
    """

    entry: str
    process_number: int
    change: str
    detail: str = ""


@attrs.frozen
class VmChanged:
    """A VM was killed, paused, resumed, restarted, turned cold, or began to leave."""

    vm: str
    change: str


@attrs.frozen
class FaultRecorded:
    """A fault was injected or healed."""

    text: str


Event = (
    RunStarted
    | RunEnded
    | TokenSent
    | OrderReceived
    | Joined
    | Committed
    | RequestSent
    | FirstPartReceived
) | (
    ResponseReceived
    | ChangeRequested
    | ChangeCompleted
    | ConfigurationApplied
    | EntryChanged
    | VmChanged
    | FaultRecorded
)


@attrs.frozen
class TimedEvent:
    """An event and its time on the test clock."""

    time_s: float
    event: Event


@attrs.define(eq=False)
class History:
    """All events in order.

    :ivar watchers: callbacks that receive each event as it is recorded
    """

    entries: list[TimedEvent] = attrs.field(factory=list)
    watchers: list[collections.abc.Callable[[Event], None]] = attrs.field(factory=list)

    def record(self, event: Event) -> None:
        """Add an event and call the watchers, which may inject faults at once."""
        self.entries.append(TimedEvent(trio.current_time(), event))
        for watcher in list(self.watchers):
            watcher(event)

    def events_of(self, kind: type) -> list[tuple[float, typing.Any]]:
        """Return all events of a class, each with its time in s."""
        return [
            (timed_event.time_s, timed_event.event)
            for timed_event in self.entries
            if isinstance(timed_event.event, kind)
        ]

    def lines(self) -> collections.abc.Iterator[str]:
        """Yield one line of text per event, truncated to 200 characters."""
        for timed_event in self.entries:
            text = str(timed_event.event)
            yield f"{timed_event.time_s:9.3f} {text if len(text) < 200 else text[:200] + '…'}"
