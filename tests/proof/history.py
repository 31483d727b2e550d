"""What really happened, as the fakes saw it; the checks rest on this alone."""

import collections.abc
import typing

import attrs
import trio


@attrs.frozen
class RunStarted:
    """A backend server began to run a request.

    :ivar running: requests it runs now, this one included
    :ivar cold_for_s: time since it turned cold; None when warm
    :ivar bearable: requests it bears while cold
    :ivar absent: members outside the group, with the time since they left; infinite for never in
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
    absent: tuple[tuple[str, float], ...] = ()


@attrs.frozen
class RunEnded:
    """A run is over, whole or not; the VM's group is free of it."""

    vm: str
    request_id: str
    whole: bool


@attrs.frozen
class TokenSent:
    """An engine sent a token of a stream."""

    vm: str
    request_id: str
    index: int


@attrs.frozen
class OrderReceived:
    """An engine got an order.

    :ivar cut: requests that it ran and that the order cut
    """

    vm: str
    order: str
    fencing: int
    accepted: bool
    group: str = ""
    cut: int = 0


@attrs.frozen
class Joined:
    """An engine has loaded its model and is in a group."""

    vm: str
    group: str
    generation: int


@attrs.frozen
class Committed:
    """A revision of the key-value service.

    :ivar client: the entry that wrote; empty when a lease lapsed
    :ivar values: new values by key; None for a deleted one
    """

    client: str
    revision: int
    values: typing.Mapping[str, bytes | None]


@attrs.frozen
class Sent:
    """A caller sent a request to an entry.

    :ivar kind: ``chat``, ``stream``, ``lookup`` or ``order``
    :ivar content: what it asks for; unique to the request, or to the order's key
    """

    name: str
    entry: str
    kind: str
    content: str
    key: str = ""


@attrs.frozen
class FirstPart:
    """A caller got the first part of its answer."""

    name: str
    entry: str


@attrs.frozen
class Answered:
    """A caller got its final answer, or lost its connection.

    :ivar status: HTTP status; 0 when the connection ended before
    :ivar whole: whether the answer ended cleanly
    :ivar outcome: of a refusal, whether the request ran
    """

    sent: Sent
    status: int
    whole: bool
    body: bytes
    request_id: str = ""
    outcome: str = ""


@attrs.frozen
class Asked:
    """An operator asks an entry for a change."""

    entry: str


@attrs.frozen
class Commanded:
    """An operator's change and its answer.

    :ivar zone: the availability zone taken out or returned; empty for a document
    :ivar began_s: when the operator asked
    :ivar everywhere: whether the answer says that each entry has it in force
    """

    entry: str
    status: int
    began_s: float
    configuration: int = 0
    zone: str = ""
    out: bool = False
    everywhere: bool = False


@attrs.frozen
class InForce:
    """An entry's configuration, at each change."""

    entry: str
    process: int
    configuration: int
    zones_out: frozenset[str]


@attrs.frozen
class EntryChanged:
    """An entry was started, killed, paused, resumed, asked to stop, stopped, or broke down.

    :ivar process: counts the processes that bore this name
    """

    entry: str
    process: int
    change: str
    detail: str = ""


@attrs.frozen
class VmChanged:
    """A VM was killed, paused, restarted, turned cold, or began to leave."""

    vm: str
    change: str


@attrs.frozen
class Fault:
    """A fault was brought in or healed."""

    text: str


Event = (
    RunStarted | RunEnded | TokenSent | OrderReceived | Joined | Committed | Sent | FirstPart
) | (Answered | Asked | Commanded | InForce | EntryChanged | VmChanged | Fault)


@attrs.frozen
class Entry:
    """An event and its time, in seconds of the test clock."""

    time_s: float
    event: Event


@attrs.define(eq=False)
class History:
    """All events in order; watchers see each one as it happens."""

    entries: list[Entry] = attrs.field(factory=list)
    watchers: list[collections.abc.Callable[[Event], None]] = attrs.field(factory=list)

    def record(self, event: Event) -> None:
        """Add an event and tell the watchers, who may bring in faults at once."""
        self.entries.append(Entry(trio.current_time(), event))
        for watcher in list(self.watchers):
            watcher(event)

    def of(self, kind: type) -> list[tuple[float, typing.Any]]:
        """Return the events of one kind with their times."""
        return [(each.time_s, each.event) for each in self.entries if isinstance(each.event, kind)]

    def lines(self) -> collections.abc.Iterator[str]:
        """Yield the history as text, shortened."""
        for each in self.entries:
            text = str(each.event)
            yield f"{each.time_s:9.3f} {text if len(text) < 200 else text[:200] + '…'}"
