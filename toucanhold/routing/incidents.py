"""Tracks requests on backend servers and records an incident when one is lost."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import admission, attempts, capacity, failures, requests, suspects


@attrs.define(eq=False)
class TrackedRequest:
    """A request over all its attempts.

    :ivar boot: the backend server of the current attempt; None before the first
    :ivar is_isolated: whether the current attempt runs alone on its backend server
    :ivar loss_count: number of attempts whose connection was lost
    :ivar status: HTTP status of the current attempt; None before its response starts
    :ivar is_loss_recorded: whether the loss of the current attempt is recorded
    """

    request: requests.CallerRequest
    boot: failures.Boot | None = None
    is_isolated: bool = False
    loss_count: int = 0
    status: int | None = None
    is_loss_recorded: bool = False
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Hash of the request's contents; see :func:`suspects.fingerprint_of`."""
        self._fingerprint = self._fingerprint or suspects.fingerprint_of(self.request)
        return self._fingerprint


@attrs.define(eq=False)
class IncidentTracker:
    """Tracks which request runs where and turns lost connections into incidents."""

    suspect_table: suspects.SuspectTable
    failure_detector: failures.FailureDetector
    view: view.BackendView
    in_flight: capacity.InFlightCounts
    _placed_requests: dict[str, TrackedRequest] = attrs.field(factory=dict, init=False)
    _lost_requests: dict[str, TrackedRequest] = attrs.field(factory=dict, init=False)
    _concurrency_by_boot: dict[tuple[str, str], int] = attrs.field(factory=dict, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Determine the verdicts of incidents until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def tracked_request(self, request: requests.CallerRequest) -> TrackedRequest:
        """Return the state of a request from its earlier attempts, or a new one."""
        return self._lost_requests.get(request.request_id) or TrackedRequest(request)

    def find_tracked(self, request_id: str) -> TrackedRequest | None:
        """Return the state of a request that is placed now; None if it is not."""
        return self._placed_requests.get(request_id)

    @contextlib.contextmanager
    def track(self, tracked: TrackedRequest, placement: admission.Placement, is_isolated: bool):
        """Track a request on the placement's backend server while the context is open."""
        candidate = placement.candidate
        tracked.boot = failures.Boot(candidate.vm.vm, candidate.report.boot_id, candidate.group)
        tracked.is_isolated, tracked.status, tracked.is_loss_recorded = is_isolated, None, False
        self._placed_requests[tracked.request.request_id] = tracked
        try:
            yield
        except (attempts.RetryableError, requests.RequestError):
            # Includes attempts that the watchdog ended: an unreachable server resets no connection.
            if not placement.is_finished:
                self.record_loss(tracked)
            raise
        finally:
            self._placed_requests.pop(tracked.request.request_id, None)

    def record_loss(self, tracked: TrackedRequest) -> None:
        """Record that a connection was lost with a request in flight."""
        now_s = trio.current_time()
        if tracked.is_loss_recorded:
            return
        tracked.is_loss_recorded = True
        if now_s >= tracked.request.deadline_s or self._nursery is None:
            # The deadline ended it: the backend server may be slow or paused, but not failed.
            return
        tracked.loss_count += 1
        self._retain(tracked)
        boot = (tracked.boot.vm, tracked.boot.boot_id)
        incident = self.suspect_table.add(
            tracked.fingerprint, boot, self._concurrent_requests(boot), tracked.is_isolated
        )
        if incident.verdict is suspects.Verdict.PENDING:
            self._nursery.start_soon(
                self._determine_verdict, tracked.fingerprint, tracked.boot, incident, now_s
            )

    def _retain(self, tracked: TrackedRequest) -> None:
        now_s = trio.current_time()
        expired = [
            key for key, each in self._lost_requests.items() if each.request.deadline_s < now_s
        ]
        for key in expired:
            del self._lost_requests[key]
        self._lost_requests[tracked.request.request_id] = tracked

    def _concurrent_requests(self, boot: tuple[str, str]) -> int:
        # Requests on a failed server are lost one after another. Keeping the largest count prevents
        # the last one from appearing to have run alone.
        observation = self.view.observation(boot[0])
        reported = 0
        if observation is not None and observation.report.boot_id == boot[1]:
            reported = observation.report.running + observation.report.waiting
        concurrent_requests = max(
            1, self.in_flight.count(boot[0]), reported, self._concurrency_by_boot.get(boot, 0)
        )
        self._concurrency_by_boot = {
            other_boot: count
            for other_boot, count in self._concurrency_by_boot.items()
            if other_boot[0] != boot[0]
        }
        self._concurrency_by_boot[boot] = concurrent_requests
        return concurrent_requests

    async def _determine_verdict(
        self,
        fingerprint: bytes,
        boot: failures.Boot,
        incident: suspects.Incident,
        lost_at_s: float,
    ) -> None:
        def vms_with_request() -> set[str]:
            return {each.vm for each in self.suspect_table.incidents(fingerprint)}

        has_failed = await self.failure_detector.has_failed(boot, lost_at_s, vms_with_request)
        verdict = suspects.Verdict.DIED if has_failed else suspects.Verdict.DISMISSED
        self.suspect_table.set_verdict(fingerprint, incident, verdict)


@attrs.define(eq=False)
class TrackingBackendClient(client.BackendClient):
    """Wraps another client and records lost answers."""

    inner: client.BackendClient
    tracker: IncidentTracker

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
        tracked = self.tracker.find_tracked(request.request_id)
        try:
            async with self.inner.forward(address, request) as response:
                if tracked is not None:
                    tracked.status = response.status
                    chunks = self._tracked_chunks(response.chunks, tracked)
                    response = attrs.evolve(response, chunks=chunks)
                yield response
        except client.AnswerLostError as error:
            if tracked is not None and tracked.status is None:
                self._record_loss(tracked, error)
            raise

    async def _tracked_chunks(
        self, chunks: collections.abc.AsyncIterator[bytes], tracked: TrackedRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
        except client.AnswerLostError as error:
            self._record_loss(tracked, error)
            raise

    def _record_loss(self, tracked: TrackedRequest, error: client.AnswerLostError) -> None:
        if not isinstance(error, client.MismatchedAnswerError):
            self.tracker.record_loss(tracked)
