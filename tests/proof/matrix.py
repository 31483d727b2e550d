"""The fault matrix: each fault of the brief at each step of each procedure."""

import abc
import itertools
import random

import attrs
import trio

from tests.proof import faults, history, procedures, promises, site, steps

HEAL_AFTER_S = 6.0
BRIEF_S = 3.0
TRAFFIC_INTERVAL_S = 0.4
TRAFFIC_S = 10.0
SERVES_AGAIN_S = 40.0
LAST_S = 6.0
SETTLED_S = 2.5
KINDS = ("chat", "order", "lookup", "stream")
TRAFFIC_KINDS = ("chat", "order", "stream")


class Fault(abc.ABC):
    """A fault that comes at a step and is healed later.

    :cvar name: its name in the names of cells
    """

    name: str
    heal_after_s = HEAL_AFTER_S

    @abc.abstractmethod
    def bring(self, own: site.Site, focus: procedures.Focus) -> None:
        """Bring it in, at once."""

    def heal(self, own: site.Site, focus: procedures.Focus) -> None:
        """Heal it; nothing by default."""
        return


class EntryKilled(Fault):
    """The entry of the step dies; another process takes its place."""

    name, heal_after_s = "entry-killed", BRIEF_S

    def bring(self, own, focus):
        own.kill_entry(focus.entry)

    def heal(self, own, focus):
        own.replace_entry(focus.entry)


class EntryPaused(Fault):
    """The entry of the step is paused."""

    name = "entry-paused"

    def bring(self, own, focus):
        own.pause_entry(focus.entry)

    def heal(self, own, focus):
        own.resume_entry(focus.entry)


class LeaseLapsed(Fault):
    """The planner is paused until its lease has lapsed and another has taken over."""

    name = "lease-lapsed"

    def bring(self, own, focus):
        self.planner = steps.planner_of(own) or focus.entry
        own.pause_entry(self.planner)

    def heal(self, own, focus):
        own.resume_entry(self.planner)


class EntrySlow(Fault):
    """The entry of the step gets a fifth of its time."""

    name = "entry-slow"

    def bring(self, own, focus):
        self.scope = faults.slow(own, focus.entry)

    def heal(self, own, focus):
        faults.end_slow(own, focus.entry, self.scope)


class ServerKilled(Fault):
    """The backend server of the step dies and comes back cold."""

    name, heal_after_s = "server-killed", BRIEF_S

    def bring(self, own, focus):
        faults.kill_vm(own, focus.vm)

    def heal(self, own, focus):
        faults.restart_vm(own, focus.vm)


class ServerPaused(Fault):
    """The backend server of the step is paused."""

    name = "server-paused"

    def bring(self, own, focus):
        faults.pause_vm(own, focus.vm)

    def heal(self, own, focus):
        faults.resume_vm(own, focus.vm)


class ServerSlow(Fault):
    """The backend server of the step gets a fifth of its time."""

    name = "server-slow"

    def bring(self, own, focus):
        self.scope = faults.slow(own, focus.vm)

    def heal(self, own, focus):
        faults.end_slow(own, focus.vm, self.scope)


class ServerCold(Fault):
    """The backend server of the step turns cold without a restart."""

    name = "server-cold"

    def bring(self, own, focus):
        faults.turn_cold(own, focus.vm)


class ServerLeaving(Fault):
    """The backend server of the step begins to leave; a new one comes in its place."""

    name, heal_after_s = "server-leaving", 8.0

    def bring(self, own, focus):
        faults.leave(own, focus.vm)

    def heal(self, own, focus):
        faults.restart_vm(own, focus.vm)


class DomainDark(Fault):
    """The whole fabric domain loses power for a while."""

    name = "domain-dark"

    def bring(self, own, focus):
        self.zone = own.servers[focus.vm].availability_zone
        faults.dark(own, self.zone)

    def heal(self, own, focus):
        for each in own.servers.values():
            if each.availability_zone == self.zone and not each.alive:
                faults.restart_vm(own, each.vm)


class _Cut(Fault):
    @abc.abstractmethod
    def far(self, own: site.Site, focus: procedures.Focus) -> list[str]:
        """Return whom the entry of the step is cut off from."""

    def bring(self, own, focus):
        for each in self.far(own, focus):
            faults.cut(own, focus.entry, each)

    def heal(self, own, focus):
        for each in self.far(own, focus):
            faults.heal(own, focus.entry, each)


class CutFromPeers(_Cut):
    """The entry of the step reaches no other entry."""

    name = "cut-from-peers"

    def far(self, own, focus):
        return [name for name in own.entries if name != focus.entry]


class CutFromPlatform(_Cut):
    """The entry of the step does not reach the platform."""

    name = "cut-from-platform"

    def far(self, own, focus):
        return ["platform"]


class CutFromServer(_Cut):
    """The entry of the step does not reach the backend server of the step."""

    name = "cut-from-server"

    def far(self, own, focus):
        return [focus.vm]


class Isolated(_Cut):
    """The entry of the step reaches neither the platform nor another entry."""

    name = "isolated"

    def far(self, own, focus):
        return ["platform", *(name for name in own.entries if name != focus.entry)]


class _Elsewhere(Fault):
    def other(self, own: site.Site, focus: procedures.Focus) -> procedures.Focus:
        """Return a focus on an entry that does not take part in the step."""
        name = next(name for name in reversed(own.names()) if name != focus.entry)
        return attrs.evolve(focus, entry=name)


class OtherPaused(_Elsewhere, EntryPaused):
    """An entry that has no part in the step is paused, and misses it."""

    name = "other-paused"

    def bring(self, own, focus):
        super().bring(own, self.other(own, focus))

    def heal(self, own, focus):
        super().heal(own, self.other(own, focus))


class OtherIsolated(_Elsewhere, Isolated):
    """An entry that has no part in the step reaches neither the platform nor another entry."""

    name, heal_after_s = "other-isolated", 9.0

    def bring(self, own, focus):
        super().bring(own, self.other(own, focus))

    def heal(self, own, focus):
        super().heal(own, self.other(own, focus))


class PlatformDown(Fault):
    """The key-value service is down for all."""

    name, mode = "platform-down", "down"

    def bring(self, own, focus):
        faults.platform_mode(own, self.mode)

    def heal(self, own, focus):
        faults.platform_mode(own, "up")


class PlatformSlow(PlatformDown):
    """Each call of the key-value service takes long."""

    name, mode = "platform-slow", "slow"


class AnswerLost(Fault):
    """The next commit of each entry takes effect, and its answer is lost."""

    name = "answer-lost"

    def bring(self, own, focus):
        faults.lose(own, "answers")

    def heal(self, own, focus):
        for each in own.platform.faults.values():
            each.lose_answers = 0


class OperatorsRacing(Fault):
    """Two operators change things at the same time, and a third takes one change back."""

    name = "operators-racing"

    def bring(self, own, focus):
        own.start(own.set_zone, "entry-1", "b", True)
        own.start(own.set_zone, "entry-3", "b", True)
        document = own.document()
        document["rules"]["workspaces"] = [{"name": "orchard", "weight": 2.0}]
        own.start(own.apply, "entry-3", document, 2)

    def heal(self, own, focus):
        own.start(own.set_zone, "entry-1", "b", False)


class CrashingRequest(Fault):
    """A request that crashes each backend server that runs it is sent, again and again."""

    name = "crashing-request"

    def bring(self, own, focus):
        own.start(self._send, own)

    async def _send(self, own: site.Site) -> None:
        series = len(own.history.entries)
        for number in range(4):
            name, entry = f"crash-{series}-{number}", f"entry-{1 + number % 3}"
            await own.call(history.Sent(name, entry, "chat", "crash-the-server"))
            await trio.sleep(0.5)


FAULTS: tuple[type[Fault], ...] = (
    EntryKilled,
    EntryPaused,
    EntrySlow,
    LeaseLapsed,
    ServerKilled,
    ServerPaused,
    ServerSlow,
    ServerCold,
    ServerLeaving,
    DomainDark,
    CutFromPeers,
    CutFromPlatform,
    CutFromServer,
    Isolated,
    OtherPaused,
    OtherIsolated,
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    OperatorsRacing,
    CrashingRequest,
)


@attrs.frozen
class Cell:
    """Faults at one step of one procedure."""

    procedure: procedures.Procedure
    step: str
    faults: tuple[type[Fault], ...]

    @property
    def name(self) -> str:
        """The cell's name, for example ``order.claimed.entry-killed``."""
        return f"{self.procedure.name}.{self.step}." + "+".join(each.name for each in self.faults)


@attrs.frozen
class Verdict:
    """What a cell's run showed.

    :ivar reached: whether the step came about, and the faults with it
    """

    name: str
    reached: bool
    problems: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether it was run and nothing was broken."""
        return self.reached and not self.problems


def cells() -> list[Cell]:
    """Return all cells with one fault."""
    return [
        Cell(procedure, step, (fault,))
        for procedure in procedures.PROCEDURES
        for step in procedure.steps()
        for fault in FAULTS
    ]


def pairs() -> list[Cell]:
    """Return all cells with two faults at the same step."""
    return [
        Cell(procedure, step, pair)
        for procedure in procedures.PROCEDURES
        for step in procedure.steps()
        for pair in itertools.combinations(FAULTS, 2)
    ]


def by_name(name: str) -> Cell:
    """Return a cell.

    :raises KeyError: when there is none of that name
    """
    return {cell.name: cell for cell in (cells() if "+" not in name else pairs())}[name]


@attrs.define(eq=False)
class Run:
    """One run of a cell."""

    cell: Cell | None
    own: site.Site
    rng: random.Random
    reached: bool = False
    healed: trio.Event = attrs.field(factory=trio.Event)
    problems: list[str] = attrs.field(factory=list)

    async def drive(self) -> None:
        """Carry out the cell."""
        procedure, own = self.cell.procedure, self.own
        if procedure.fresh:
            for name in own.names():
                own.start_entry(name)
            await trio.sleep(SETTLED_S)
        else:
            await site.serve_first(own)
            await trio.sleep(SETTLED_S)
        await procedure.prepare(own)
        step = procedure.steps()[self.cell.step]
        own.history.watchers.append(lambda event: self._watch(step, event))
        own.start(self.traffic)
        await procedure.drive(own)
        await trio.sleep(TRAFFIC_S + 1)
        if self.reached:
            await self.healed.wait()
        await self.end()

    def note(self, text: str) -> None:
        """Put a line about the faults into the history."""
        self.own.history.record(history.Fault(text))

    def _watch(self, step: procedures.Step, event: history.Event) -> None:
        focus = None if self.reached else step(self.own, event)
        if focus is None:
            return
        self.reached = True
        focus = self._whole(focus)
        self.note(f"the cell's step, at {focus}")
        own_faults = [fault() for fault in self.cell.faults]
        for fault in own_faults:
            fault.bring(self.own, focus)
        self.own.start(self._heal, own_faults, focus)

    def _whole(self, focus: procedures.Focus) -> procedures.Focus:
        heads = [run.vm for _, run in self.own.history.of(history.RunStarted) if run.group]
        vm = focus.vm or (heads[-1] if heads else procedures.DEFAULT_VM)
        entry = focus.entry or procedures.DEFAULT_ENTRY
        return procedures.Focus(entry, vm)

    async def _heal(self, own_faults: list[Fault], focus: procedures.Focus) -> None:
        for fault in sorted(own_faults, key=lambda each: each.heal_after_s):
            await trio.sleep(fault.heal_after_s)
            fault.heal(self.own, focus)
        self.note("all is healed")
        self.healed.set()

    async def traffic(self) -> None:
        """Send requests of all kinds to all entries for a while."""
        for number in range(int(TRAFFIC_S / TRAFFIC_INTERVAL_S)):
            kind = TRAFFIC_KINDS[number % len(TRAFFIC_KINDS)]
            self._send(f"t{number}", f"entry-{self.rng.randint(1, 3)}", kind)
            for name in self.own.names():
                self._send(f"t{number}{name}", name, "lookup")
            await trio.sleep(TRAFFIC_INTERVAL_S)

    def _send(self, name: str, entry: str, kind: str) -> None:
        key = f"key-{name}" if kind == "order" else ""
        sent = history.Sent(name, entry, kind, f"traffic-{name}", key)
        self.own.start(self.own.call, sent)

    async def end(self) -> None:
        """Tell whether the site serves again, and check everything."""
        own = self.own
        if not await own.wait(self._stopped, SERVES_AGAIN_S):
            self.problems.append("a planned stop does not end")
        for name, each in own.entries.items():
            if not each.alive:
                own.replace_entry(name)
        if self.cell is not None:
            await self.cell.procedure.ask_again(own)
        if not await own.wait(self._answered, SERVES_AGAIN_S):
            self.problems.append("requests without an answer")
        if not await own.wait(own.all_serving, SERVES_AGAIN_S):
            self.problems.append(f"not serving {SERVES_AGAIN_S} s after the faults were healed")
        await trio.sleep(LAST_S)
        for number, name in enumerate(own.entries):
            for kind in KINDS:
                sent = history.Sent(f"e{number}{kind}", name, kind, f"end-{number}-{kind}")
                answer = await own.call(sent)
                if answer.status != 200 or not answer.whole:
                    self.problems.append(f"{name} did not serve a {kind}: {answer}"[:300])
        self.problems += promises.broken(steps.record_of(own))

    def _stopped(self) -> bool:
        entries = self.own.entries.values()
        return not any(each.alive and each.stop_requested.is_set() for each in entries)

    def _answered(self) -> bool:
        return not self.own.waiting_calls


def run(cell: Cell, seed: int = 1) -> tuple[Verdict, site.Site | None]:
    """Run a cell on the test clock."""
    plan = attrs.evolve(cell.procedure.plan, seed=seed)
    return run_on(plan, cell.name, cell, Run, seed)


def run_on(
    plan: site.Plan, name: str, cell: Cell | None, kind: type[Run], seed: int
) -> tuple[Verdict, site.Site | None]:
    """Run something on a site of its own and return what it showed."""
    runs: list[Run] = []

    async def drive(own: site.Site) -> None:
        runs.append(kind(cell, own, random.Random(seed)))
        await runs[0].drive()

    own = None
    try:
        own = site.run(plan, drive)
        problems = runs[0].problems
    except Exception as error:
        problems = [f"the bench failed: {error!r} {getattr(error, 'exceptions', '')}"]
    return Verdict(name, bool(runs) and runs[0].reached, tuple(problems)), own
