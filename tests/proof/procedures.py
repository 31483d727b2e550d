"""The procedures of the fault matrix and their named steps."""

import abc
import collections.abc

import attrs
import trio

from tests.proof import faults, history, promises, site, steps

DEFAULT_ENTRY = "entry-2"
RETRY_ATTEMPTS = 20
DEFAULT_VM = "a1"
REQUEST_NAME = "p1"
ORDER_KEY = "key-p1"


@attrs.frozen
class Participants:
    """The entry and the VM that take part in a step; empty for none."""

    entry: str = ""
    vm: str = ""


Step = collections.abc.Callable[[site.Site, history.Event], Participants | None]


class Procedure(abc.ABC):
    """An operation of the system.

    :cvar name: its part of the names of cells
    :cvar layout: the site that it needs
    :cvar starts_unconfigured: whether the site has no configuration when it begins
    """

    name: str
    layout = site.SiteLayout()
    starts_unconfigured = False

    @abc.abstractmethod
    def steps(self) -> dict[str, Step]:
        """Return its steps by name.

        A step returns the participants if an event is that step, else None.
        """

    @abc.abstractmethod
    async def trigger(self, testbed: site.Site) -> None:
        """Start the procedure."""

    async def prepare(self, testbed: site.Site) -> None:
        """Prepare the site for the procedure; does nothing by default."""
        return

    async def retry_refused(self, testbed: site.Site) -> None:
        """Repeat changes that were not accepted during the faults; does nothing by default."""
        return


def _on_write(
    prefix: str, deleted: bool = False, occurrence: int = 1
) -> collections.abc.Callable[[], Step]:
    def new_step() -> Step:
        count = 0

        def step(testbed: site.Site, event: history.Event) -> Participants | None:
            nonlocal count
            if not isinstance(event, history.Committed):
                return None
            for key, value in event.values.items():
                if key.startswith(prefix) and (value is None) == deleted:
                    count += 1
                    return Participants(entry=event.client) if count == occurrence else None
            return None

        return step

    return new_step


def _on_event(
    kind: type, occurrence: int = 1, **field_values: object
) -> collections.abc.Callable[[], Step]:
    def new_step() -> Step:
        count = 0

        def step(testbed: site.Site, event: history.Event) -> Participants | None:
            nonlocal count
            if not isinstance(event, kind):
                return None
            if any(getattr(event, name) != value for name, value in field_values.items()):
                return None
            count += 1
            if count != occurrence:
                return None
            return Participants(getattr(event, "entry", ""), getattr(event, "vm", ""))

        return step

    return new_step


def _on_run_in_zone(zone: str) -> Step:
    def step(testbed: site.Site, event: history.Event) -> Participants | None:
        is_in_zone = isinstance(event, history.RunStarted) and testbed.zone_of(event.vm) == zone
        return Participants(vm=event.vm) if is_in_zone else None

    return step


class _Call(Procedure):
    kind: str
    key = ""

    async def trigger(self, testbed: site.Site) -> None:
        sent = history.RequestSent(
            REQUEST_NAME, DEFAULT_ENTRY, self.kind, f"about {REQUEST_NAME}", self.key
        )
        testbed.start(testbed.call, sent)

    def _on_run_event(self, kind: type, **field_values: object) -> Step:
        request_ids: set[str] = set()

        def step(testbed: site.Site, event: history.Event) -> Participants | None:
            if isinstance(event, history.RunStarted) and (
                event.content == f"about {REQUEST_NAME}" or (self.key and event.key == self.key)
            ):
                request_ids.add(event.request_id)
            if not isinstance(event, kind) or event.request_id not in request_ids:
                return None
            if any(getattr(event, name) != value for name, value in field_values.items()):
                return None
            return Participants(DEFAULT_ENTRY, event.vm)

        return step


class Request(_Call):
    """A chat request without streaming."""

    name, kind = "request", "chat"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "sent": _on_event(history.RequestSent, name=REQUEST_NAME)(),
            "runs": self._on_run_event(history.RunStarted),
            "ran": self._on_run_event(history.RunEnded),
            "answered": _on_event(history.FirstPartReceived, name=REQUEST_NAME)(),
        }


class Order(_Call):
    """A non-idempotent order with an idempotency key."""

    name, kind, key = "order", "order", ORDER_KEY

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "sent": _on_event(history.RequestSent, name=REQUEST_NAME)(),
            "claimed": self._on_claim(1),
            "runs": self._on_run_event(history.RunStarted),
            "ran": self._on_run_event(history.RunEnded),
            "recorded": self._on_claim(2),
            "answered": _on_event(history.FirstPartReceived, name=REQUEST_NAME)(),
        }

    def _on_claim(self, occurrence: int) -> Step:
        count = 0

        def step(testbed: site.Site, event: history.Event) -> Participants | None:
            nonlocal count
            count += steps.is_claim(event, testbed, ORDER_KEY)
            return Participants(DEFAULT_ENTRY) if count == occurrence else None

        return step


class Stream(_Call):
    """A streamed chat request."""

    name, kind = "stream", "stream"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "runs": self._on_run_event(history.RunStarted),
            "first-token": self._on_run_event(history.TokenSent, index=0),
            "sixth-token": self._on_run_event(history.TokenSent, index=5),
            "ran": self._on_run_event(history.RunEnded),
        }


class GroupForming(Procedure):
    """The first groups are formed."""

    name, starts_unconfigured = "group-forming", True

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "planned": _on_write(promises.PLAN_PREFIX)(),
            "ordered": _on_event(history.OrderReceived, order="join")(),
            "first-joined": _on_event(history.Joined)(),
            "last-joined": _on_event(history.Joined, occurrence=4)(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        testbed.start(testbed.apply, "entry-1", testbed.document(), 0)


class GroupChange(Procedure):
    """A new model version changes all groups."""

    name = "group-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _on_event(history.ChangeRequested)(),
            "accepted": _on_write(promises.HEAD_KEY)(),
            "planned": _on_write(promises.PLAN_PREFIX)(),
            "left": _on_event(history.OrderReceived, order="leave")(),
            "ordered": _on_event(history.OrderReceived, order="join")(),
            "joined": _on_event(history.Joined)(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        document = testbed.document()
        document["rules"]["services"][0]["version"] = "2"
        testbed.start(testbed.apply, "entry-1", document, 1)


class ZoneTakeOut(Procedure):
    """An availability zone is taken out."""

    name = "take-out"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _on_event(history.ChangeRequested)(),
            "accepted": _on_write(promises.HEAD_KEY)(),
            "in-force": _on_event(history.ConfigurationApplied, configuration=2)(),
            "planned": _on_write(promises.PLAN_PREFIX)(),
            "ordered": _on_event(history.OrderReceived, order="join")(),
            "joined": _on_event(history.Joined)(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        testbed.start(testbed.set_zone, "entry-1", "a", True)


class ZoneReturn(Procedure):
    """An availability zone is returned and receives work again."""

    name = "return"
    layout = site.SiteLayout(replicas=3)

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _on_event(history.ChangeRequested)(),
            "accepted": _on_write(promises.HEAD_KEY)(),
            "in-force": _on_event(history.ConfigurationApplied, configuration=3)(),
            "planned": _on_write(promises.PLAN_PREFIX)(),
            "runs-there": _on_run_in_zone("a"),
        }

    async def prepare(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        await testbed.set_zone("entry-1", "a", True)
        await trio.sleep(12)

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        testbed.start(testbed.set_zone, "entry-1", "a", False)

    async def retry_refused(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        # If the return was refused, or its entry was killed, the zone stays out. The site cannot
        # serve everything without it, and an operator would try again.
        for _ in range(RETRY_ATTEMPTS):
            returns = (
                change
                for _, change in testbed.history.events_of(history.ChangeCompleted)
                if not change.out
            )
            if any(change.zone == "a" and change.status == 200 for change in returns):
                return
            await testbed.set_zone("entry-2", "a", False)
            await trio.sleep(1)


class Configuration(Procedure):
    """The rules change without a change of any group."""

    name = "configuration-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _on_event(history.ChangeRequested)(),
            "accepted": _on_write(promises.HEAD_KEY)(),
            "in-force": _on_event(history.ConfigurationApplied, configuration=2)(),
            "in-force-everywhere": _on_event(
                history.ConfigurationApplied, configuration=2, occurrence=3
            )(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        document = testbed.document()
        document["rules"]["workspaces"] = [{"name": "county", "weight": 2.0}]
        testbed.start(testbed.apply, "entry-1", document, 1)


class PlannerChange(Procedure):
    """The planner shuts down gracefully, and another entry takes over."""

    name = "planner-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "released": _on_write("toucanhold/planner", deleted=True)(),
            "taken-over": _on_write("toucanhold/planner")(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        testbed.stop_entry(steps.planner_of(testbed))


class EntryStop(Procedure):
    """An entry shuts down gracefully."""

    name = "entry-stop"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "begun": _on_event(history.EntryChanged, change="stopping")(),
            "off-the-roster": _on_write(f"toucanhold/entries/{DEFAULT_ENTRY}", deleted=True)(),
            "stopped": _on_event(history.EntryChanged, change="stopped")(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        testbed.stop_entry(DEFAULT_ENTRY)


class ServerLeaving(Procedure):
    """A backend server reports that it is about to leave."""

    name = "server-leaving"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "begun": _on_event(history.VmChanged, change="leaves")(),
            "planned": _on_write(promises.PLAN_PREFIX)(),
            "left": _on_event(history.OrderReceived, order="leave")(),
            "joined": _on_event(history.Joined)(),
        }

    async def trigger(self, testbed: site.Site) -> None:
        """See :class:`Procedure`."""
        faults.start_leaving(testbed, DEFAULT_VM)


PROCEDURES: tuple[Procedure, ...] = (
    Request(),
    Order(),
    Stream(),
    GroupForming(),
    GroupChange(),
    ZoneTakeOut(),
    ZoneReturn(),
    Configuration(),
    PlannerChange(),
    EntryStop(),
    ServerLeaving(),
)
