"""The procedures of the fault matrix: what is done, and the named steps that it goes through."""

import abc
import collections.abc

import attrs
import trio

from tests.proof import faults, history, promises, site, steps

DEFAULT_ENTRY = "entry-2"
ASK_AGAIN_ATTEMPTS = 20
DEFAULT_VM = "a1"
CALLER = "p1"
KEY = "key-p1"


@attrs.frozen
class Focus:
    """Who takes part in a step."""

    entry: str = ""
    vm: str = ""


Step = collections.abc.Callable[[site.Site, history.Event], Focus | None]


class Procedure(abc.ABC):
    """Something that the system does.

    :cvar name: its name in the names of cells
    :cvar plan: the site that it needs
    :cvar fresh: whether it begins with a site that has no configuration yet
    """

    name: str
    plan = site.Plan()
    fresh = False

    @abc.abstractmethod
    def steps(self) -> dict[str, Step]:
        """Return its steps by name; each tells whether an event is that step."""

    @abc.abstractmethod
    async def drive(self, own: site.Site) -> None:
        """Set it going."""

    async def prepare(self, own: site.Site) -> None:
        """Bring the site to where it can begin; nothing by default."""
        return

    async def ask_again(self, own: site.Site) -> None:
        """After the faults, ask for what was not accepted; nothing by default."""
        return


def _wrote(prefix: str, deleted: bool = False, nth: int = 1) -> collections.abc.Callable[[], Step]:
    def new() -> Step:
        count = 0

        def step(own: site.Site, event: history.Event) -> Focus | None:
            nonlocal count
            if not isinstance(event, history.Committed):
                return None
            for key, value in event.values.items():
                if key.startswith(prefix) and (value is None) == deleted:
                    count += 1
                    return Focus(entry=event.client) if count == nth else None
            return None

        return step

    return new


def _saw(kind: type, nth: int = 1, **wanted: object) -> collections.abc.Callable[[], Step]:
    def new() -> Step:
        count = 0

        def step(own: site.Site, event: history.Event) -> Focus | None:
            nonlocal count
            if not isinstance(event, kind):
                return None
            if any(getattr(event, name) != value for name, value in wanted.items()):
                return None
            count += 1
            if count != nth:
                return None
            return Focus(getattr(event, "entry", ""), getattr(event, "vm", ""))

        return step

    return new


def _runs_in_zone(zone: str) -> Step:
    def step(own: site.Site, event: history.Event) -> Focus | None:
        there = isinstance(event, history.RunStarted) and own.zone_of(event.vm) == zone
        return Focus(vm=event.vm) if there else None

    return step


class _Call(Procedure):
    kind: str
    key = ""

    async def drive(self, own: site.Site) -> None:
        sent = history.Sent(CALLER, DEFAULT_ENTRY, self.kind, f"about {CALLER}", self.key)
        own.start(own.call, sent)

    def _of_run(self, kind: type, **wanted: object) -> Step:
        ids: set[str] = set()

        def step(own: site.Site, event: history.Event) -> Focus | None:
            if isinstance(event, history.RunStarted) and (
                event.content == f"about {CALLER}" or (self.key and event.key == self.key)
            ):
                ids.add(event.request_id)
            if not isinstance(event, kind) or event.request_id not in ids:
                return None
            if any(getattr(event, name) != value for name, value in wanted.items()):
                return None
            return Focus(DEFAULT_ENTRY, event.vm)

        return step


class Request(_Call):
    """A chat answered as a whole."""

    name, kind = "request", "chat"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "sent": _saw(history.Sent, name=CALLER)(),
            "runs": self._of_run(history.RunStarted),
            "ran": self._of_run(history.RunEnded),
            "answered": _saw(history.FirstPart, name=CALLER)(),
        }


class Order(_Call):
    """An order that may not be repeated, with a key."""

    name, kind, key = "order", "order", KEY

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "sent": _saw(history.Sent, name=CALLER)(),
            "claimed": self._claim(1),
            "runs": self._of_run(history.RunStarted),
            "ran": self._of_run(history.RunEnded),
            "recorded": self._claim(2),
            "answered": _saw(history.FirstPart, name=CALLER)(),
        }

    def _claim(self, nth: int) -> Step:
        count = 0

        def step(own: site.Site, event: history.Event) -> Focus | None:
            nonlocal count
            count += steps.is_claim(event, own, KEY)
            return Focus(DEFAULT_ENTRY) if count == nth else None

        return step


class Stream(_Call):
    """A chat answered as a stream."""

    name, kind = "stream", "stream"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "runs": self._of_run(history.RunStarted),
            "first-token": self._of_run(history.TokenSent, index=0),
            "sixth-token": self._of_run(history.TokenSent, index=5),
            "ran": self._of_run(history.RunEnded),
        }


class Forming(Procedure):
    """The first groups are formed."""

    name, fresh = "group-forming", True

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "planned": _wrote(promises.PLAN_PREFIX)(),
            "ordered": _saw(history.OrderReceived, order="join")(),
            "first-joined": _saw(history.Joined)(),
            "last-joined": _saw(history.Joined, nth=4)(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        own.start(own.apply, "entry-1", own.document(), 0)


class Change(Procedure):
    """A new version makes all groups change."""

    name = "group-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _saw(history.Asked)(),
            "accepted": _wrote(promises.HEAD_KEY)(),
            "planned": _wrote(promises.PLAN_PREFIX)(),
            "left": _saw(history.OrderReceived, order="leave")(),
            "ordered": _saw(history.OrderReceived, order="join")(),
            "joined": _saw(history.Joined)(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        document = own.document()
        document["rules"]["services"][0]["version"] = "2"
        own.start(own.apply, "entry-1", document, 1)


class TakeOut(Procedure):
    """An availability zone is taken out."""

    name = "take-out"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _saw(history.Asked)(),
            "accepted": _wrote(promises.HEAD_KEY)(),
            "in-force": _saw(history.InForce, configuration=2)(),
            "planned": _wrote(promises.PLAN_PREFIX)(),
            "ordered": _saw(history.OrderReceived, order="join")(),
            "joined": _saw(history.Joined)(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        own.start(own.set_zone, "entry-1", "a", True)


class Return(Procedure):
    """An availability zone is returned, and gets work again."""

    name = "return"
    plan = site.Plan(replicas=3)

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _saw(history.Asked)(),
            "accepted": _wrote(promises.HEAD_KEY)(),
            "in-force": _saw(history.InForce, configuration=3)(),
            "planned": _wrote(promises.PLAN_PREFIX)(),
            "runs-there": _runs_in_zone("a"),
        }

    async def prepare(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        await own.set_zone("entry-1", "a", True)
        await trio.sleep(12)

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        own.start(own.set_zone, "entry-1", "a", False)

    async def ask_again(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        # A return that was refused truthfully, or whose entry died, leaves the zone out: without
        # it the site cannot serve all again, and no operator would leave it at that.
        for _ in range(ASK_AGAIN_ATTEMPTS):
            returned = (each for _, each in own.history.of(history.Commanded) if not each.out)
            if any(each.zone == "a" and each.status == 200 for each in returned):
                return
            await own.set_zone("entry-2", "a", False)
            await trio.sleep(1)


class Configuration(Procedure):
    """The rules change, and no group with them."""

    name = "configuration-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "asked": _saw(history.Asked)(),
            "accepted": _wrote(promises.HEAD_KEY)(),
            "in-force": _saw(history.InForce, configuration=2)(),
            "in-force-everywhere": _saw(history.InForce, configuration=2, nth=3)(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        document = own.document()
        document["rules"]["workspaces"] = [{"name": "county", "weight": 2.0}]
        own.start(own.apply, "entry-1", document, 1)


class PlannerChange(Procedure):
    """The planner stops as planned, and another entry takes over."""

    name = "planner-change"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "released": _wrote("toucanhold/planner", deleted=True)(),
            "taken-over": _wrote("toucanhold/planner")(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        own.stop_entry(steps.planner_of(own))


class Stop(Procedure):
    """An entry stops as planned."""

    name = "entry-stop"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "begun": _saw(history.EntryChanged, change="stopping")(),
            "off-the-roster": _wrote(f"toucanhold/entries/{DEFAULT_ENTRY}", deleted=True)(),
            "stopped": _saw(history.EntryChanged, change="stopped")(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        own.stop_entry(DEFAULT_ENTRY)


class Leaving(Procedure):
    """A backend server says that it is about to leave."""

    name = "server-leaving"

    def steps(self) -> dict[str, Step]:
        """See :class:`Procedure`."""
        return {
            "begun": _saw(history.VmChanged, change="leaves")(),
            "planned": _wrote(promises.PLAN_PREFIX)(),
            "left": _saw(history.OrderReceived, order="leave")(),
            "joined": _saw(history.Joined)(),
        }

    async def drive(self, own: site.Site) -> None:
        """See :class:`Procedure`."""
        faults.leave(own, DEFAULT_VM)


PROCEDURES: tuple[Procedure, ...] = (
    Request(),
    Order(),
    Stream(),
    Forming(),
    Change(),
    TakeOut(),
    Return(),
    Configuration(),
    PlannerChange(),
    Stop(),
    Leaving(),
)
