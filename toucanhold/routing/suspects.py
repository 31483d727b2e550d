"""Tracks requests suspected of crashing backend servers and shares them with peers."""

import enum
import hashlib
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.peers import exchange, messages
from toucanhold.routing import requests

MAX_SUSPECTS = 1000
RETENTION_S = 6 * 3600.0
FULL_WEIGHT = 1.0

LOGGER = logging.getLogger(__name__)


class Verdict(enum.Enum):
    """Whether a backend server failed with a request in flight."""

    PENDING = "pending"
    DIED = "died"
    DISMISSED = "dismissed"


@attrs.define(eq=False)
class Incident:
    """The loss of a connection to a backend server with a request in flight.

    :ivar concurrent_requests: number of requests that ran there, as known to the reporting entry
    :ivar is_isolated: whether the request ran alone on an isolated backend server
    :ivar settled: set once the verdict is final
    """

    vm: str
    boot_id: str
    concurrent_requests: int
    is_isolated: bool
    verdict: Verdict = Verdict.PENDING
    settled: trio.Event = attrs.field(factory=trio.Event)

    def set_verdict(self, verdict: Verdict) -> None:
        """Set the verdict; ``DIED`` is never revoked."""
        if self.verdict is not Verdict.DIED:
            self.verdict = verdict
        self.settled.set()


@attrs.define(eq=False)
class _Suspect:
    """The incidents of one request, by VM and boot id, and its last use in monotonic time."""

    incidents: dict[tuple[str, str], Incident] = attrs.field(factory=dict)
    last_seen_at_s: float = attrs.field(factory=trio.current_time)


@attrs.define(eq=False)
class SuspectTable:
    """Suspected and quarantined requests by fingerprint.

    Holds at most ``MAX_SUSPECTS``; entries expire ``RETENTION_S`` after their last use.
    """

    exchange: exchange.Exchange
    _suspects: dict[bytes, _Suspect] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the incidents of peers."""
        self.exchange.subscribe(messages.IncidentNews, self._receive_incident)
        self.exchange.subscribe(messages.ClearedNews, self._receive_cleared)
        self.exchange.subscribe_connected(self._send_all)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a request must run isolated."""
        return any(
            incident.verdict is not Verdict.DISMISSED for incident in self.incidents(fingerprint)
        )

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is refused permanently."""
        return self._exceeds_threshold(self.incidents(fingerprint), Verdict.DIED)

    def may_be_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined if all pending verdicts become ``DIED``."""
        return self._exceeds_threshold(self.incidents(fingerprint), Verdict.DIED, Verdict.PENDING)

    def incidents(self, fingerprint: bytes) -> list[Incident]:
        """Return all incidents of a request."""
        suspect = self._find(fingerprint)
        return [] if suspect is None else list(suspect.incidents.values())

    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._suspects

    def add(
        self, fingerprint: bytes, boot: tuple[str, str], concurrent_requests: int, is_isolated: bool
    ) -> Incident:
        """Record an incident and notify the peers.

        :param boot: VM and boot id of the backend server
        :param concurrent_requests: number of requests that ran there, including this one
        """
        incident = self._record_incident(fingerprint, boot, concurrent_requests, is_isolated)
        events.log(
            LOGGER,
            events.Event.REQUEST_SUSPECTED,
            fingerprint=fingerprint.hex(),
            vm=incident.vm,
            boot_id=incident.boot_id,
            company=incident.concurrent_requests,
            alone=incident.is_isolated,
        )
        self.exchange.broadcast(_incident_message(fingerprint, incident))
        return incident

    def set_verdict(self, fingerprint: bytes, incident: Incident, verdict: Verdict) -> None:
        """Set the verdict of an incident and notify the peers."""
        was_quarantined = self.is_quarantined(fingerprint)
        incident.set_verdict(verdict)
        self.exchange.broadcast(_incident_message(fingerprint, incident))
        if self.is_quarantined(fingerprint) and not was_quarantined:
            vms = sorted(each.vm for each in self.incidents(fingerprint))
            events.log(
                LOGGER, events.Event.REQUEST_CONDEMNED, fingerprint=fingerprint.hex(), vms=vms
            )

    def clear(self, fingerprint: bytes) -> None:
        """Remove a request that ran to completion and notify the peers."""
        if self._remove(fingerprint):
            events.log(LOGGER, events.Event.REQUEST_CLEARED, fingerprint=fingerprint.hex())
            self.exchange.broadcast(messages.ClearedNews(fingerprint))

    def _find(self, fingerprint: bytes) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        now_s = trio.current_time()
        if now_s - suspect.last_seen_at_s > RETENTION_S:
            self._remove(fingerprint)
            return None
        # A request that callers keep sending does not expire.
        suspect.last_seen_at_s = now_s
        return suspect

    def _exceeds_threshold(self, incidents: list[Incident], *verdicts: Verdict) -> bool:
        # One failure may be a coincidence, and with concurrent requests it is weak evidence. Two
        # failures, one of them isolated, have only the request itself in common.
        weights = [self._weight(each) for each in incidents if each.verdict in verdicts]
        return bool(weights) and max(weights) >= FULL_WEIGHT and sum(weights) > FULL_WEIGHT

    def _weight(self, incident: Incident) -> float:
        if incident.is_isolated:
            return FULL_WEIGHT
        # Requests of other entries on that server are known only from their incidents.
        boot = (incident.vm, incident.boot_id)
        recorded = sum(boot in suspect.incidents for suspect in self._suspects.values())
        return FULL_WEIGHT / max(1, incident.concurrent_requests, recorded)

    def _record_incident(
        self, fingerprint: bytes, boot: tuple[str, str], concurrent_requests: int, is_isolated: bool
    ) -> Incident:
        suspect = self._find(fingerprint)
        if suspect is None:
            self._evict_if_full()
            suspect = self._suspects[fingerprint] = _Suspect()
        incident = suspect.incidents.setdefault(
            boot, Incident(*boot, concurrent_requests, is_isolated)
        )
        incident.concurrent_requests = max(incident.concurrent_requests, concurrent_requests)
        incident.is_isolated = incident.is_isolated or is_isolated
        return incident

    def _evict_if_full(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        # Evict quarantined requests last: forgetting one costs two more server crashes.
        oldest = min(
            self._suspects,
            key=lambda each: (
                self._exceeds_threshold(
                    list(self._suspects[each].incidents.values()), Verdict.DIED
                ),
                self._suspects[each].last_seen_at_s,
            ),
        )
        self._remove(oldest)

    def _remove(self, fingerprint: bytes) -> bool:
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return False
        # A peer's verdict that arrives later no longer reaches the tasks that wait for it.
        for incident in suspect.incidents.values():
            incident.set_verdict(Verdict.DISMISSED)
        return True

    def _receive_incident(self, peer: str, message: messages.IncidentNews) -> None:
        incident = self._record_incident(
            message.fingerprint, (message.vm, message.boot_id), message.company, message.alone
        )
        if message.verdict != Verdict.PENDING.value:
            incident.set_verdict(Verdict(message.verdict))

    def _receive_cleared(self, peer: str, message: messages.ClearedNews) -> None:
        self._remove(message.fingerprint)

    def _send_all(self, peer: str) -> None:
        for fingerprint, suspect in self._suspects.items():
            for incident in suspect.incidents.values():
                self.exchange.send(peer, _incident_message(fingerprint, incident))


def fingerprint_of(request: requests.CallerRequest) -> bytes:
    """Return a hash of a request's contents, independent of its caller and idempotency key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.service.name, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _incident_message(fingerprint: bytes, incident: Incident) -> messages.IncidentNews:
    return messages.IncidentNews(
        fingerprint,
        incident.vm,
        incident.boot_id,
        incident.concurrent_requests,
        incident.is_isolated,
        incident.verdict.value,
    )
