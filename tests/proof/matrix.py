"""The fault matrix: each fault at each step of each procedure."""

import abc
import itertools
import random

import attrs
import trio

from tests.proof import faults, history, procedures, promises, site, steps

HEAL_AFTER_S = 6.0
SHORT_HEAL_AFTER_S = 3.0
TRAFFIC_INTERVAL_S = 0.4
TRAFFIC_S = 10.0
RECOVERY_TIMEOUT_S = 40.0
FINAL_SETTLE_S = 6.0
SETTLE_S = 2.5
REQUEST_KINDS = ("chat", "order", "lookup", "stream")
TRAFFIC_KINDS = ("chat", "order", "stream")


class Fault(abc.ABC):
    """A fault that is injected at a step and healed later.

    :cvar name: its part of the names of cells
    :cvar heal_after_s: time from injection to healing
    """

    name: str
    heal_after_s = HEAL_AFTER_S

    @abc.abstractmethod
    def inject(self, testbed: site.Site, participants: procedures.Participants) -> None:
        """Inject the fault immediately."""

    def heal(self, testbed: site.Site, participants: procedures.Participants) -> None:
        """Heal the fault; does nothing by default."""
        return


class EntryKilled(Fault):
    """The entry of the step is killed and later replaced by another process."""

    name, heal_after_s = "entry-killed", SHORT_HEAL_AFTER_S

    def inject(self, testbed, participants):
        testbed.kill_entry(participants.entry)

    def heal(self, testbed, participants):
        testbed.replace_entry(participants.entry)


class EntryPaused(Fault):
    """The entry of the step is paused."""

    name = "entry-paused"

    def inject(self, testbed, participants):
        testbed.pause_entry(participants.entry)

    def heal(self, testbed, participants):
        testbed.resume_entry(participants.entry)


class LeaseLapsed(Fault):
    """The planner is paused until its lease has expired and another entry has taken over."""

    name = "lease-lapsed"

    def inject(self, testbed, participants):
        self.planner = steps.planner_of(testbed) or participants.entry
        testbed.pause_entry(self.planner)

    def heal(self, testbed, participants):
        testbed.resume_entry(self.planner)


class EntrySlow(Fault):
    """The entry of the step is limited to a fifth of its time."""

    name = "entry-slow"

    def inject(self, testbed, participants):
        self.scope = faults.slow_down(testbed, participants.entry)

    def heal(self, testbed, participants):
        faults.restore_speed(testbed, participants.entry, self.scope)


class ServerKilled(Fault):
    """The backend server of the step is killed and later restarts cold."""

    name, heal_after_s = "server-killed", SHORT_HEAL_AFTER_S

    def inject(self, testbed, participants):
        faults.kill_vm(testbed, participants.vm)

    def heal(self, testbed, participants):
        faults.restart_vm(testbed, participants.vm)


class ServerPaused(Fault):
    """The backend server of the step is paused."""

    name = "server-paused"

    def inject(self, testbed, participants):
        faults.pause_vm(testbed, participants.vm)

    def heal(self, testbed, participants):
        faults.resume_vm(testbed, participants.vm)


class ServerSlow(Fault):
    """The backend server of the step is limited to a fifth of its time."""

    name = "server-slow"

    def inject(self, testbed, participants):
        self.scope = faults.slow_down(testbed, participants.vm)

    def heal(self, testbed, participants):
        faults.restore_speed(testbed, participants.vm, self.scope)


class ServerCold(Fault):
    """The backend server of the step turns cold without a restart."""

    name = "server-cold"

    def inject(self, testbed, participants):
        faults.turn_cold(testbed, participants.vm)


class ServerLeaving(Fault):
    """The backend server of the step begins to leave and is later replaced."""

    name, heal_after_s = "server-leaving", 8.0

    def inject(self, testbed, participants):
        faults.start_leaving(testbed, participants.vm)

    def heal(self, testbed, participants):
        faults.restart_vm(testbed, participants.vm)


class DomainPoweredOff(Fault):
    """All engine VMs of the fabric domain lose power for some seconds."""

    name = "domain-dark"

    def inject(self, testbed, participants):
        self.zone = testbed.servers[participants.vm].availability_zone
        faults.power_off_zone(testbed, self.zone)

    def heal(self, testbed, participants):
        for server in testbed.servers.values():
            if server.availability_zone == self.zone and not server.is_alive:
                faults.restart_vm(testbed, server.vm)


class _PartitionFault(Fault):
    @abc.abstractmethod
    def targets(self, testbed: site.Site, participants: procedures.Participants) -> list[str]:
        """Return the names that the entry of the step is cut from."""

    def inject(self, testbed, participants):
        for target in self.targets(testbed, participants):
            faults.cut(testbed, participants.entry, target)

    def heal(self, testbed, participants):
        for target in self.targets(testbed, participants):
            faults.heal(testbed, participants.entry, target)


class CutFromPeers(_PartitionFault):
    """The entry of the step reaches no other entry."""

    name = "cut-from-peers"

    def targets(self, testbed, participants):
        return [name for name in testbed.entries if name != participants.entry]


class CutFromPlatform(_PartitionFault):
    """The entry of the step does not reach the platform."""

    name = "cut-from-platform"

    def targets(self, testbed, participants):
        return ["platform"]


class CutFromServer(_PartitionFault):
    """The entry of the step does not reach the backend server of the step."""

    name = "cut-from-server"

    def targets(self, testbed, participants):
        return [participants.vm]


class Isolated(_PartitionFault):
    """The entry of the step reaches neither the platform nor another entry."""

    name = "isolated"

    def targets(self, testbed, participants):
        return ["platform", *(name for name in testbed.entries if name != participants.entry)]


class _OtherEntryFault(Fault):
    def other_participants(
        self, testbed: site.Site, participants: procedures.Participants
    ) -> procedures.Participants:
        """Return participants whose entry does not take part in the step."""
        name = next(name for name in reversed(testbed.entry_names()) if name != participants.entry)
        return attrs.evolve(participants, entry=name)


class OtherPaused(_OtherEntryFault, EntryPaused):
    """An entry that does not take part in the step is paused and misses it."""

    name = "other-paused"

    def inject(self, testbed, participants):
        super().inject(testbed, self.other_participants(testbed, participants))

    def heal(self, testbed, participants):
        super().heal(testbed, self.other_participants(testbed, participants))


class OtherIsolated(_OtherEntryFault, Isolated):
    """An entry that does not take part in the step reaches neither platform nor other entries."""

    name, heal_after_s = "other-isolated", 9.0

    def inject(self, testbed, participants):
        super().inject(testbed, self.other_participants(testbed, participants))

    def heal(self, testbed, participants):
        super().heal(testbed, self.other_participants(testbed, participants))


class PlatformDown(Fault):
    """The key-value service is down for all."""

    name, mode = "platform-down", "down"

    def inject(self, testbed, participants):
        faults.platform_mode(testbed, self.mode)

    def heal(self, testbed, participants):
        faults.platform_mode(testbed, "up")


class PlatformSlow(PlatformDown):
    """Each call to the key-value service is slow."""

    name, mode = "platform-slow", "slow"


class AnswerLost(Fault):
    """The next commit of each entry takes effect, but its response is lost."""

    name = "answer-lost"

    def inject(self, testbed, participants):
        faults.lose_commit(testbed, "answers")

    def heal(self, testbed, participants):
        for client_faults in testbed.platform.faults.values():
            client_faults.lose_answers = 0


class OperatorsRacing(Fault):
    """Two operators make changes at the same time, and a third reverts one of them."""

    name = "operators-racing"

    def inject(self, testbed, participants):
        testbed.start(testbed.set_zone, "entry-1", "b", True)
        testbed.start(testbed.set_zone, "entry-3", "b", True)
        document = testbed.document()
        document["rules"]["workspaces"] = [{"name": "orchard", "weight": 2.0}]
        testbed.start(testbed.apply, "entry-3", document, 2)

    def heal(self, testbed, participants):
        testbed.start(testbed.set_zone, "entry-1", "b", False)


class CrashingRequest(Fault):
    """A request that crashes each backend server that runs it is sent repeatedly."""

    name = "crashing-request"

    def inject(self, testbed, participants):
        testbed.start(self._send, testbed)

    async def _send(self, testbed: site.Site) -> None:
        series_id = len(testbed.history.entries)
        for number in range(4):
            name, entry = f"crash-{series_id}-{number}", f"entry-{1 + number % 3}"
            await testbed.call(history.RequestSent(name, entry, "chat", "crash-the-server"))
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
    DomainPoweredOff,
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
        """The name of the cell, for example ``order.claimed.entry-killed``."""
        return f"{self.procedure.name}.{self.step}." + "+".join(fault.name for fault in self.faults)


@attrs.frozen
class Verdict:
    """Result of running a cell.

    :ivar reached: whether the step occurred, and with it the faults
    :ivar problems: one line per violation
    """

    name: str
    reached: bool
    problems: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether the step occurred and no check failed."""
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
    """Return the cell of a name.

    :raises KeyError: if there is no such cell
    """
    return {cell.name: cell for cell in (cells() if "+" not in name else pairs())}[name]


@attrs.define(eq=False)
class Run:
    """One run of a cell.

    :ivar cell: None for a run without a cell
    :ivar healed: set when all faults are healed
    """

    cell: Cell | None
    testbed: site.Site
    rng: random.Random
    reached: bool = False
    healed: trio.Event = attrs.field(factory=trio.Event)
    problems: list[str] = attrs.field(factory=list)

    async def drive(self) -> None:
        """Run the procedure, inject the faults at the step, and check the result."""
        procedure, testbed = self.cell.procedure, self.testbed
        if procedure.starts_unconfigured:
            for name in testbed.entry_names():
                testbed.start_entry(name)
            await trio.sleep(SETTLE_S)
        else:
            await site.start_serving(testbed)
            await trio.sleep(SETTLE_S)
        await procedure.prepare(testbed)
        step = procedure.steps()[self.cell.step]
        testbed.history.watchers.append(lambda event: self._inject_at_step(step, event))
        testbed.start(self.traffic)
        await procedure.trigger(testbed)
        await trio.sleep(TRAFFIC_S + 1)
        if self.reached:
            await self.healed.wait()
        await self.verify_recovery()

    def record_note(self, text: str) -> None:
        """Add a line about the faults to the history."""
        self.testbed.history.record(history.FaultRecorded(text))

    def _inject_at_step(self, step: procedures.Step, event: history.Event) -> None:
        participants = None if self.reached else step(self.testbed, event)
        if participants is None:
            return
        self.reached = True
        participants = self._complete_participants(participants)
        self.record_note(f"the cell's step, at {participants}")
        injected_faults = [fault() for fault in self.cell.faults]
        for fault in injected_faults:
            fault.inject(self.testbed, participants)
        self.testbed.start(self._heal, injected_faults, participants)

    def _complete_participants(
        self, participants: procedures.Participants
    ) -> procedures.Participants:
        head_vms = [
            run.vm for _, run in self.testbed.history.events_of(history.RunStarted) if run.group
        ]
        vm = participants.vm or (head_vms[-1] if head_vms else procedures.DEFAULT_VM)
        entry = participants.entry or procedures.DEFAULT_ENTRY
        return procedures.Participants(entry, vm)

    async def _heal(
        self, injected_faults: list[Fault], participants: procedures.Participants
    ) -> None:
        for fault in sorted(injected_faults, key=lambda pending: pending.heal_after_s):
            await trio.sleep(fault.heal_after_s)
            fault.heal(self.testbed, participants)
        self.record_note("all is healed")
        self.healed.set()

    async def traffic(self) -> None:
        """Send requests of all kinds to all entries for :data:`TRAFFIC_S`."""
        for number in range(int(TRAFFIC_S / TRAFFIC_INTERVAL_S)):
            kind = TRAFFIC_KINDS[number % len(TRAFFIC_KINDS)]
            self._send(f"t{number}", f"entry-{self.rng.randint(1, 3)}", kind)
            for name in self.testbed.entry_names():
                self._send(f"t{number}{name}", name, "lookup")
            await trio.sleep(TRAFFIC_INTERVAL_S)

    def _send(self, name: str, entry: str, kind: str) -> None:
        key = f"key-{name}" if kind == "order" else ""
        sent = history.RequestSent(name, entry, kind, f"traffic-{name}", key)
        self.testbed.start(self.testbed.call, sent)

    async def verify_recovery(self) -> None:
        """Check that the site serves again, and run all checks over the history."""
        testbed = self.testbed
        if not await testbed.wait_until(self._are_stops_finished, RECOVERY_TIMEOUT_S):
            self.problems.append("a planned stop does not end")
        for name, entry_process in testbed.entries.items():
            if not entry_process.is_alive:
                testbed.replace_entry(name)
        if self.cell is not None:
            await self.cell.procedure.retry_refused(testbed)
        if not await testbed.wait_until(self._are_calls_answered, RECOVERY_TIMEOUT_S):
            self.problems.append("requests without an answer")
        if not await testbed.wait_until(testbed.all_serving, RECOVERY_TIMEOUT_S):
            self.problems.append(f"not serving {RECOVERY_TIMEOUT_S} s after the faults were healed")
        await trio.sleep(FINAL_SETTLE_S)
        for number, name in enumerate(testbed.entries):
            for kind in REQUEST_KINDS:
                sent = history.RequestSent(f"e{number}{kind}", name, kind, f"end-{number}-{kind}")
                answer = await testbed.call(sent)
                if answer.status != 200 or not answer.is_complete:
                    self.problems.append(f"{name} did not serve a {kind}: {answer}"[:300])
        self.problems += promises.violations(steps.new_run_record(testbed))

    def _are_stops_finished(self) -> bool:
        entries = self.testbed.entries.values()
        return not any(
            entry_process.is_alive and entry_process.stop_requested.is_set()
            for entry_process in entries
        )

    def _are_calls_answered(self) -> bool:
        return not self.testbed.pending_calls


def run(cell: Cell, seed: int = 1) -> tuple[Verdict, site.Site | None]:
    """Run a cell on the test clock; the site is None if the run failed."""
    layout = attrs.evolve(cell.procedure.layout, seed=seed)
    return run_on(layout, cell.name, cell, Run, seed)


def run_on(
    layout: site.SiteLayout, name: str, cell: Cell | None, kind: type[Run], seed: int
) -> tuple[Verdict, site.Site | None]:
    """Run ``kind`` on a new site and return its verdict.

    :param name: name of the verdict
    :param cell: the cell, or None for a run without one
    """
    started_runs: list[Run] = []

    async def drive(testbed: site.Site) -> None:
        started_runs.append(kind(cell, testbed, random.Random(seed)))
        await started_runs[0].drive()

    testbed = None
    try:
        testbed = site.run(layout, drive)
        problems = started_runs[0].problems
    except Exception as error:
        problems = [f"the bench failed: {error!r} {getattr(error, 'exceptions', '')}"]
    return Verdict(name, bool(started_runs) and started_runs[0].reached, tuple(problems)), testbed
