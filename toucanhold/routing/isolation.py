"""Runs suspected requests alone."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.configuration import rules
from toucanhold.observing import view
from toucanhold.peers import exchange, messages
from toucanhold.routing import candidates, cold, gate, requests, room, watching

ISOLATION_S = 30.0
CHECK_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0
CONFLICT_STATUS = 409
FIRST_SERVER_ERROR = 500


@attrs.define(eq=False)
class Isolations:
    """Backend servers that are kept free for one suspect, on this entry or another."""

    exchange: exchange.Exchange
    _until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to those of peers."""
        self.exchange.subscribe(messages.IsolationNews, self._hear)

    def begin(self, vm: str) -> None:
        """Keep a backend server free, here and elsewhere."""
        self._set(vm, ISOLATION_S)

    def end(self, vm: str) -> None:
        """Give it back."""
        self._set(vm, 0.0)

    def is_isolated(self, vm: str) -> bool:
        """Tell whether a backend server takes no other work."""
        # The time ends an isolation whose entry died without ending it.
        until_s = self._until_s.get(vm)
        return until_s is not None and trio.current_time() < until_s

    def _set(self, vm: str, for_s: float) -> None:
        self._until_s[vm] = trio.current_time() + for_s
        self.exchange.broadcast(messages.IsolationNews(vm, for_s))

    def _hear(self, peer: str, news: messages.IsolationNews) -> None:
        self._until_s[news.vm] = trio.current_time() + min(news.for_s, ISOLATION_S)


@attrs.define(eq=False)
class IsolatingRoom(room.RoomPolicy):
    """Another policy, without room on isolated backend servers."""

    inner: room.RoomPolicy
    isolations: Isolations

    def load(self, service: rules.Service, option: candidates.Candidate) -> float:
        """See :class:`room.RoomPolicy`."""
        if self.isolations.is_isolated(option.vm.vm):
            return 1.0
        return self.inner.load(service, option)

    def may_send(self, service: rules.Service, option: candidates.Candidate) -> bool:
        """See :class:`room.RoomPolicy`."""
        return self.inner.may_send(service, option)


@attrs.define(eq=False)
class IsolatingAdmission(gate.AdmissionPolicy):
    """Another policy for most requests; suspects run alone or not at all.

    :ivar room: tells of room without regard to isolation
    """

    inner: gate.AdmissionPolicy
    finder: candidates.CandidateFinder
    in_flight: room.InFlight
    room: room.RoomPolicy
    cold: cold.ColdPolicy
    watch: watching.SuspectWatch
    isolations: Isolations
    _busy: set[str] = attrs.field(factory=set, init=False)

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """See :class:`gate.AdmissionPolicy`."""
        return self.inner.expected_duration_s(request)

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`gate.AdmissionPolicy`."""
        run = self.watch.run_of(request)
        if self.watch.table.is_empty() or not await self._is_suspect(run):
            async with self.inner.place(request, avoid) as placement:
                with self.watch.placed(run, placement, False):
                    yield placement
            return
        async with contextlib.AsyncExitStack() as stack:
            placement = await stack.enter_async_context(self._alone(run, avoid))
            alone = placement is not None
            if not alone:
                placement = await stack.enter_async_context(self.inner.place(request, avoid))
            with self.watch.placed(run, placement, alone):
                yield placement
            if placement.finished and _is_whole(run.status):
                self.watch.table.clear(run.fingerprint)

    async def _is_suspect(self, run: watching.Run) -> bool:
        table = self.watch.table
        if run.alone or table.may_be_condemned(run.fingerprint):
            # Two deaths may be on its account. A third server must not pay for deciding early, nor
            # the caller, where the server that it ran on alone is soon seen to live.
            for incident in table.incidents(run.fingerprint):
                with trio.move_on_at(run.request.deadline_s):
                    await incident.judged.wait()
        if table.is_condemned(run.fingerprint):
            raise _refused_for_good(run)
        if not table.is_suspect(run.fingerprint):
            return False
        if run.alone:
            raise _lost_twice()
        return True

    @contextlib.asynccontextmanager
    async def _alone(self, run: watching.Run, avoid: frozenset[str]):
        """Hold a backend server that nothing else runs on; None if that is no longer needed."""
        chosen = await self._isolate(run, avoid)
        if chosen is None:
            yield None
            return
        vm = chosen.vm.vm
        placement = gate.Placement(chosen, run.request, self.room)
        self.in_flight.add(vm)
        try:
            yield placement
        finally:
            self.in_flight.remove(vm)
            self._end(run, vm)
            if not placement.finished:
                self.cold.note_unclean_end(vm, chosen.report.boot_id)

    async def _isolate(
        self, run: watching.Run, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        service = run.request.service
        await self._wait_turn(run)
        vm, since_s, free = "", 0.0, None
        try:
            while trio.current_time() < run.request.deadline_s:
                # While it waits, another entry may lose the same request.
                if not await self._is_suspect(run):
                    return None
                options = self.finder.find(service, trio.current_time())
                if not options:
                    # Nothing to keep free, and nothing to run on: the inner policy refuses at once.
                    return None
                option = next((each for each in options if each.vm.vm == vm), None)
                if option is not None and self._is_free(service, option, since_s):
                    free = option
                    return free
                if option is None or not self.isolations.is_isolated(vm):
                    # Gone, or not idle in all that time: long streams may run there.
                    self._end_isolation(vm)
                    vm, since_s = self._begin(service, options, avoid), trio.current_time()
                await trio.sleep(CHECK_INTERVAL_S)
            raise _no_room()
        finally:
            if free is None:
                self._end(run, vm)

    async def _wait_turn(self, run: watching.Run) -> None:
        # One at a time: with a server kept free for each of twenty innocents that were in flight
        # with one that crashed, nothing would be left for all others.
        name = run.request.service.name
        while name in self._busy:
            if trio.current_time() >= run.request.deadline_s:
                raise _no_room()
            await trio.sleep(CHECK_INTERVAL_S)
        self._busy.add(name)

    def _begin(
        self,
        service: rules.Service,
        options: collections.abc.Sequence[candidates.Candidate],
        avoid: frozenset[str],
    ) -> str:
        usable = [each for each in options if not self.isolations.is_isolated(each.vm.vm)]
        usable = [each for each in usable if each.vm.vm not in avoid] or usable
        if not usable:
            return ""
        chosen = min(usable, key=lambda each: self.room.load(service, each)).vm.vm
        self.isolations.begin(chosen)
        return chosen

    def _end(self, run: watching.Run, vm: str) -> None:
        self._busy.discard(run.request.service.name)
        self._end_isolation(vm)

    def _end_isolation(self, vm: str) -> None:
        if vm:
            self.isolations.end(vm)

    def _is_free(
        self, service: rules.Service, option: candidates.Candidate, since_s: float
    ) -> bool:
        if self.in_flight.count(option.vm.vm) or self.room.load(service, option) >= 1:
            return False
        # A report from before the isolation does not tell of what was sent there since.
        told_since = option.fresh_until_s - view.FRESH_S > since_s
        return told_since and not option.report.running and not option.report.waiting


def _is_whole(status: int | None) -> bool:
    return status is not None and status != CONFLICT_STATUS and status < FIRST_SERVER_ERROR


def _refused_for_good(run: watching.Run) -> requests.RequestError:
    outcome = requests.Outcome.UNKNOWN if run.losses else requests.Outcome.DID_NOT_RUN
    return requests.RequestError(
        requests.Problem.REFUSED_FOR_GOOD, outcome, "backend servers died each time it ran"
    )


def _lost_twice() -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.BACKEND_FAILED,
        requests.Outcome.UNKNOWN,
        "it was lost twice, once while it ran alone",
        RETRY_AFTER_S,
    )


def _no_room() -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY,
        requests.Outcome.DID_NOT_RUN,
        "no backend server could be kept free before the deadline",
        RETRY_AFTER_S,
    )
