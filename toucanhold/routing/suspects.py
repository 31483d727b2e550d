"""Requests that crash backend servers: what is known of them on this entry and its peers."""

import enum
import hashlib
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.peers import exchange, messages
from toucanhold.routing import requests

MAX_REQUESTS = 1000
KEPT_S = 6 * 3600.0
WHOLE_WEIGHT = 1.0

LOGGER = logging.getLogger(__name__)


class Verdict(enum.Enum):
    """Whether a backend server died with a request in flight."""

    PENDING = "pending"
    DIED = "died"
    DISMISSED = "dismissed"


@attrs.define(eq=False)
class Incident:
    """A connection to a backend server was lost with the request in flight.

    :ivar company: requests that ran there at that time, as far as one entry knew
    :ivar alone: whether the backend server was kept free for it
    """

    vm: str
    boot_id: str
    company: int
    alone: bool
    verdict: Verdict = Verdict.PENDING
    judged: trio.Event = attrs.field(factory=trio.Event)

    def judge(self, verdict: Verdict) -> None:
        """Settle the verdict; a death that was seen is never taken back."""
        if self.verdict is not Verdict.DIED:
            self.verdict = verdict
        self.judged.set()


@attrs.define(eq=False)
class _Suspect:
    incidents: dict[tuple[str, str], Incident] = attrs.field(factory=dict)
    seen_at_s: float = attrs.field(factory=trio.current_time)


@attrs.define(eq=False)
class SuspectTable:
    """Suspected and condemned requests by fingerprint; bounded, and ageing."""

    exchange: exchange.Exchange
    _suspects: dict[bytes, _Suspect] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to what peers know."""
        self.exchange.subscribe(messages.IncidentNews, self._hear)
        self.exchange.subscribe(messages.ClearedNews, self._hear_cleared)
        self.exchange.subscribe_connected(self._tell_all)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tell whether a request must run alone."""
        return any(
            incident.verdict is not Verdict.DISMISSED for incident in self.incidents(fingerprint)
        )

    def is_condemned(self, fingerprint: bytes) -> bool:
        """Tell whether a request is refused for good."""
        return self._is_guilty(self.incidents(fingerprint), Verdict.DIED)

    def may_be_condemned(self, fingerprint: bytes) -> bool:
        """Tell whether verdicts that are still out decide on a request."""
        return self._is_guilty(self.incidents(fingerprint), Verdict.DIED, Verdict.PENDING)

    def incidents(self, fingerprint: bytes) -> list[Incident]:
        """Return all incidents of a request."""
        suspect = self._find(fingerprint)
        return [] if suspect is None else list(suspect.incidents.values())

    def is_empty(self) -> bool:
        """Tell whether nothing is suspected."""
        return not self._suspects

    def add(self, fingerprint: bytes, boot: tuple[str, str], company: int, alone: bool) -> Incident:
        """Note an incident and tell the peers.

        :param boot: VM and boot id of the backend server
        """
        incident = self._note(fingerprint, boot, company, alone)
        events.log(
            LOGGER,
            events.Event.REQUEST_SUSPECTED,
            fingerprint=fingerprint.hex(),
            vm=incident.vm,
            boot_id=incident.boot_id,
            company=incident.company,
            alone=incident.alone,
        )
        self.exchange.broadcast(_news(fingerprint, incident))
        return incident

    def judge(self, fingerprint: bytes, incident: Incident, verdict: Verdict) -> None:
        """Settle an incident and tell the peers."""
        was_condemned = self.is_condemned(fingerprint)
        incident.judge(verdict)
        self.exchange.broadcast(_news(fingerprint, incident))
        if self.is_condemned(fingerprint) and not was_condemned:
            vms = sorted(each.vm for each in self.incidents(fingerprint))
            events.log(
                LOGGER, events.Event.REQUEST_CONDEMNED, fingerprint=fingerprint.hex(), vms=vms
            )

    def clear(self, fingerprint: bytes) -> None:
        """Forget a request that ran whole, and tell the peers."""
        if self._suspects.pop(fingerprint, None) is not None:
            events.log(LOGGER, events.Event.REQUEST_CLEARED, fingerprint=fingerprint.hex())
            self.exchange.broadcast(messages.ClearedNews(fingerprint))

    def _find(self, fingerprint: bytes) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        now_s = trio.current_time()
        if now_s - suspect.seen_at_s > KEPT_S:
            del self._suspects[fingerprint]
            return None
        # A caller who goes on sending it keeps it on the list.
        suspect.seen_at_s = now_s
        return suspect

    def _is_guilty(self, incidents: list[Incident], *verdicts: Verdict) -> bool:
        # One death may be chance, and in company it says little. Two, one of them alone, leave
        # only the request itself as what they have in common.
        weights = [self._weight(each) for each in incidents if each.verdict in verdicts]
        return bool(weights) and max(weights) >= WHOLE_WEIGHT and sum(weights) > WHOLE_WEIGHT

    def _weight(self, incident: Incident) -> float:
        if incident.alone:
            return WHOLE_WEIGHT
        # Another entry's requests there are known only by what it tells.
        boot = (incident.vm, incident.boot_id)
        told = sum(boot in suspect.incidents for suspect in self._suspects.values())
        return WHOLE_WEIGHT / max(1, incident.company, told)

    def _note(
        self, fingerprint: bytes, boot: tuple[str, str], company: int, alone: bool
    ) -> Incident:
        suspect = self._find(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[fingerprint] = _Suspect()
        incident = suspect.incidents.setdefault(boot, Incident(*boot, company, alone))
        incident.company = max(incident.company, company)
        incident.alone = incident.alone or alone
        return incident

    def _make_room(self) -> None:
        if len(self._suspects) < MAX_REQUESTS:
            return
        # Condemned ones go last: forgetting one costs two more servers.
        oldest = min(
            self._suspects,
            key=lambda each: (
                self._is_guilty(list(self._suspects[each].incidents.values()), Verdict.DIED),
                self._suspects[each].seen_at_s,
            ),
        )
        del self._suspects[oldest]

    def _hear(self, peer: str, news: messages.IncidentNews) -> None:
        incident = self._note(news.fingerprint, (news.vm, news.boot_id), news.company, news.alone)
        if news.verdict != Verdict.PENDING.value:
            incident.judge(Verdict(news.verdict))

    def _hear_cleared(self, peer: str, news: messages.ClearedNews) -> None:
        self._suspects.pop(news.fingerprint, None)

    def _tell_all(self, peer: str) -> None:
        for fingerprint, suspect in self._suspects.items():
            for incident in suspect.incidents.values():
                self.exchange.send(peer, _news(fingerprint, incident))


def fingerprint_of(request: requests.CallerRequest) -> bytes:
    """Return a hash of what a request does, whoever sends it and under whatever key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.service.name, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _news(fingerprint: bytes, incident: Incident) -> messages.IncidentNews:
    return messages.IncidentNews(
        fingerprint,
        incident.vm,
        incident.boot_id,
        incident.company,
        incident.alone,
        incident.verdict.value,
    )
