"""Tracks requests on backend servers and records an incident when one is lost."""

import collections.abc
import contextlib
import functools

import attrs
import trio

from toucanhold import supervision
from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import admission, attempts, capacity, failures, requests, suspects


@attrs.define(eq=False)
class TrackedRequest:
    """A request over all its attempts.

    :ivar is_isolated: whether the attempt that started last runs alone on its backend server
    :ivar loss_count: number of attempts whose connection was lost
    """

    request: requests.CallerRequest
    is_isolated: bool = False
    loss_count: int = 0
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Hash of the request's contents; see :func:`suspects.fingerprint_of`."""
        self._fingerprint = self._fingerprint or suspects.fingerprint_of(self.request)
        return self._fingerprint


@attrs.define(eq=False)
class TrackedAttempt:
    """One attempt of a request.

    :ivar status: HTTP status; None before the response starts
    :ivar is_loss_recorded: whether its loss is recorded
    """

    tracked: TrackedRequest
    boot: failures.Boot
    is_isolated: bool
    status: int | None = None
    is_loss_recorded: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Request id and boot id."""
        return self.tracked.request.request_id, self.boot.boot_id


@attrs.define(eq=False)
class IncidentTracker:
    """Tracks which request runs where and turns lost connections into incidents."""

    suspect_table: suspects.SuspectTable
    failure_detector: failures.FailureDetector
    view: view.BackendView
    in_flight: capacity.InFlightCounts
    _placed: dict[tuple[str, str], TrackedAttempt] = attrs.field(factory=dict, init=False)
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

    def find_attempt(self, request: client.ForwardedRequest) -> TrackedAttempt | None:
        """Return the attempt in which a request is sent now; None if it is not tracked."""
        return self._placed.get((request.request_id, request.boot_id))

    @contextlib.contextmanager
    def track(self, tracked: TrackedRequest, placement: admission.Placement, is_isolated: bool):
        """Track a request on the placement's backend server while the context is open."""
        candidate = placement.candidate
        boot = failures.Boot(candidate.vm.vm, candidate.report.boot_id, candidate.group)
        tracked.is_isolated = is_isolated
        attempt = TrackedAttempt(tracked, boot, is_isolated)
        # An unreachable server resets no connection.
        placement.on_silent = functools.partial(self.record_loss, attempt)
        self._placed[attempt.key] = attempt
        try:
            yield attempt
        except (attempts.RetryableError, requests.RequestError):
            # Includes attempts that the watchdog ended.
            if not placement.is_finished:
                self.record_loss(attempt)
            raise
        finally:
            if self._placed.get(attempt.key) is attempt:
                del self._placed[attempt.key]

    def record_loss(self, attempt: TrackedAttempt) -> None:
        """Record that a connection was lost, or a server fell silent, with a request in flight."""
        now_s, tracked = trio.current_time(), attempt.tracked
        if attempt.is_loss_recorded:
            return
        attempt.is_loss_recorded = True
        if now_s >= tracked.request.deadline_s or self._nursery is None:
            # The deadline ended it: the backend server may be slow or paused, but not failed.
            return
        tracked.loss_count += 1
        self._retain(tracked)
        boot = (attempt.boot.vm, attempt.boot.boot_id)
        incident = self.suspect_table.add(
            tracked.fingerprint, boot, self._concurrent_requests(boot), attempt.is_isolated
        )
        if incident.verdict is suspects.Verdict.PENDING:
            self._nursery.start_soon(
                supervision.run,
                self._determine_verdict,
                tracked.fingerprint,
                attempt.boot,
                incident,
                now_s,
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
        attempt = self.tracker.find_attempt(request)
        try:
            async with self.inner.forward(address, request) as response:
                if attempt is not None:
                    attempt.status = response.status
                    chunks = self._tracked_chunks(response.chunks, attempt)
                    response = attrs.evolve(response, chunks=chunks)
                yield response
        except client.AnswerLostError as error:
            if attempt is not None and attempt.status is None:
                self._record_loss(attempt, error)
            raise

    async def _tracked_chunks(
        self, chunks: collections.abc.AsyncIterator[bytes], attempt: TrackedAttempt
    ) -> collections.abc.AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
        except client.AnswerLostError as error:
            self._record_loss(attempt, error)
            raise

    def _record_loss(self, attempt: TrackedAttempt, error: client.AnswerLostError) -> None:
        if not isinstance(error, client.MismatchedAnswerError):
            self.tracker.record_loss(attempt)
