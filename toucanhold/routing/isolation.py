"""Runs suspected requests alone, and notes which requests were lost with a backend server."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.observing import view
from toucanhold.peers import exchange, messages
from toucanhold.routing import attempts, candidates, cold, deaths, gate, requests, room, suspects

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
class Run:
    """A request on its way, over all its attempts.

    :ivar losses: attempts that were lost with their connection
    :ivar status: HTTP status of the present attempt; None before an answer has begun
    :ivar is_noted: whether the present attempt is known to be lost
    """

    request: requests.CallerRequest
    boot: deaths.Boot | None = None
    alone: bool = False
    losses: int = 0
    status: int | None = None
    is_noted: bool = False
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Hash of what the request does."""
        self._fingerprint = self._fingerprint or suspects.fingerprint_of(self.request)
        return self._fingerprint


@attrs.define(eq=False)
class SuspectWatch:
    """Knows what runs where, and turns lost connections into incidents."""

    table: suspects.SuspectTable
    deaths: deaths.DeathWatch
    view: view.View
    in_flight: room.InFlight
    _placed: dict[str, Run] = attrs.field(factory=dict, init=False)
    _lost: dict[str, Run] = attrs.field(factory=dict, init=False)
    _companies: dict[tuple[str, str], int] = attrs.field(factory=dict, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Judge incidents until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def run_of(self, request: requests.CallerRequest) -> Run:
        """Return what is known of a request from its earlier attempts."""
        return self._lost.get(request.request_id) or Run(request)

    def find_placed(self, request_id: str) -> Run | None:
        """Return the run of a request that is placed now."""
        return self._placed.get(request_id)

    @contextlib.contextmanager
    def placed(self, run: Run, candidate: candidates.Candidate, alone: bool):
        """Know ``run`` to be on a candidate while the context is open."""
        run.boot = deaths.Boot(candidate.vm.vm, candidate.report.boot_id, candidate.group)
        run.alone, run.status, run.is_noted = alone, None, False
        self._placed[run.request.request_id] = run
        try:
            yield
        finally:
            self._placed.pop(run.request.request_id, None)

    def note_loss(self, run: Run) -> None:
        """Note that a connection was lost with ``run`` in flight."""
        now_s = trio.current_time()
        if run.is_noted:
            return
        run.is_noted = True
        if now_s >= run.request.deadline_s or self._nursery is None:
            # Its own time is over: the backend server was slow or paused, not gone.
            return
        run.losses += 1
        self._keep(run)
        boot = (run.boot.vm, run.boot.boot_id)
        incident = self.table.add(run.fingerprint, boot, self._company(boot), run.alone)
        if incident.verdict is suspects.Verdict.PENDING:
            self._nursery.start_soon(self._judge, run.fingerprint, run.boot, incident, now_s)

    def _keep(self, run: Run) -> None:
        now_s = trio.current_time()
        over = [key for key, each in self._lost.items() if each.request.deadline_s < now_s]
        for key in over:
            del self._lost[key]
        self._lost[run.request.request_id] = run

    def _company(self, boot: tuple[str, str]) -> int:
        # Requests on a server that died are lost one after another; the last one is not alone.
        observation = self.view.observation(boot[0])
        reported = 0
        if observation is not None and observation.report.boot_id == boot[1]:
            reported = observation.report.running + observation.report.waiting
        company = max(1, self.in_flight.count(boot[0]), reported, self._companies.get(boot, 0))
        self._companies = {
            known: count for known, count in self._companies.items() if known[0] != boot[0]
        }
        self._companies[boot] = company
        return company

    async def _judge(
        self,
        fingerprint: bytes,
        boot: deaths.Boot,
        incident: suspects.Incident,
        lost_at_s: float,
    ) -> None:
        def carriers() -> set[str]:
            return {each.vm for each in self.table.incidents(fingerprint)}

        died = await self.deaths.has_died(boot, lost_at_s, carriers)
        verdict = suspects.Verdict.DIED if died else suspects.Verdict.DISMISSED
        self.table.judge(fingerprint, incident, verdict)


@attrs.define(eq=False)
class WatchingBackends(client.BackendClient):
    """Another client, whose lost answers are noted."""

    inner: client.BackendClient
    watch: SuspectWatch

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""
        await self.inner.close()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        return await self.inner.read_report(address, timeout_s)

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""
        await self.inner.send_order(address, order, timeout_s)

    @contextlib.asynccontextmanager
    async def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> collections.abc.AsyncIterator[client.ForwardedResponse]:
        """See :class:`client.BackendClient`."""
        run = self.watch.find_placed(request.request_id)
        try:
            async with self.inner.forward(address, request) as response:
                if run is not None:
                    run.status = response.status
                    chunks = self._watched(response.chunks, run)
                    response = attrs.evolve(response, chunks=chunks)
                yield response
        except client.AnswerLostError as error:
            if run is not None and run.status is None:
                self._note(run, error)
            raise

    async def _watched(
        self, chunks: collections.abc.AsyncIterator[bytes], run: Run
    ) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
        except client.AnswerLostError as error:
            self._note(run, error)
            raise

    def _note(self, run: Run, error: client.AnswerLostError) -> None:
        if not isinstance(error, client.WrongAnswerError):
            self.watch.note_loss(run)


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
    watch: SuspectWatch
    isolations: Isolations
    _busy: set[str] = attrs.field(factory=set, init=False)

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """See :class:`gate.AdmissionPolicy`."""
        return self.inner.expected_duration_s(request)

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`gate.AdmissionPolicy`."""
        run = self.watch.run_of(request)
        suspected = not self.watch.table.is_empty() and await self._is_suspect(run)
        async with contextlib.AsyncExitStack() as stack:
            placement = None
            if suspected:
                placement = await stack.enter_async_context(self._alone(run, avoid))
            alone = placement is not None
            if not alone:
                placement = await stack.enter_async_context(self.inner.place(request, avoid))
            with self.watch.placed(run, placement.candidate, alone):
                try:
                    yield placement
                except (attempts.RetryableError, requests.RequestError):
                    # Also where the watchdog ended it: a server that went dark resets nothing.
                    if not placement.finished:
                        self.watch.note_loss(run)
                    raise
            if suspected and placement.finished and _is_whole(run.status):
                self.watch.table.clear(run.fingerprint)

    async def _is_suspect(self, run: Run) -> bool:
        table = self.watch.table
        if table.may_be_condemned(run.fingerprint):
            # Two deaths may be on its account. A third server must not pay for deciding early.
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
    async def _alone(self, run: Run, avoid: frozenset[str]):
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

    async def _isolate(self, run: Run, avoid: frozenset[str]) -> candidates.Candidate | None:
        service = run.request.service
        await self._wait_turn(run)
        vm, since_s, free = "", 0.0, None
        try:
            while trio.current_time() < run.request.deadline_s:
                # While it waits, another entry may lose the same request.
                if not await self._is_suspect(run):
                    return None
                options = self.finder.find(service, trio.current_time())
                option = next((each for each in options if each.vm.vm == vm), None)
                if option is not None and self._is_free(service, option, since_s):
                    free = option
                    return free
                if option is None:
                    self._end_isolation(vm)
                    vm, since_s = self._begin(service, options, avoid), trio.current_time()
                await trio.sleep(CHECK_INTERVAL_S)
            raise _no_room()
        finally:
            if free is None:
                self._end(run, vm)

    async def _wait_turn(self, run: Run) -> None:
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

    def _end(self, run: Run, vm: str) -> None:
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


def _refused_for_good(run: Run) -> requests.RequestError:
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
