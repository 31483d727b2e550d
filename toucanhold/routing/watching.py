"""Notes which requests are lost with a backend server."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import attempts, deaths, gate, requests, room, suspects


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
    def placed(self, run: Run, placement: gate.Placement, alone: bool):
        """Know ``run`` to be on a backend server while the context is open."""
        candidate = placement.candidate
        run.boot = deaths.Boot(candidate.vm.vm, candidate.report.boot_id, candidate.group)
        run.alone, run.status, run.is_noted = alone, None, False
        self._placed[run.request.request_id] = run
        try:
            yield
        except (attempts.RetryableError, requests.RequestError):
            # Also where the watchdog ended it: a server that went dark resets nothing.
            if not placement.finished:
                self.note_loss(run)
            raise
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
