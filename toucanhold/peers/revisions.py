"""Synchronises configuration and plan between entries by comparing revisions."""

import logging
import zlib

import attrs
import trio

from toucanhold.configuration import holder, reading, snapshot
from toucanhold.membership import facts, roster
from toucanhold.peers import exchange, messages
from toucanhold.plans import plan

CONFIGURATION_REQUEST_INTERVAL_S = 1.0
SOURCE = "peer"

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _PeerRevisions:
    """The revisions in a peer's last heartbeat.

    :ivar configuration: number of the configuration in force at the peer
    :ivar requested_digests: own and peer's plan digest when the peer's plan was last requested
    """

    configuration: int
    requested_digests: tuple[int, int] = (0, 0)


@attrs.define(eq=False)
class RevisionSync:
    """Composes heartbeats and requests newer configurations and plans from peers."""

    exchange: exchange.Exchange
    configuration: holder.ConfigurationHolder
    reader: reading.ConfigurationReader
    plans: plan.PlanHolder
    roster: roster.Roster
    facts: facts.FactTable
    _peer_revisions: dict[str, _PeerRevisions] = attrs.field(factory=dict, init=False)
    _next_request_at_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the messages of peers and to new connections."""
        self.exchange.subscribe_connected(self._handle_connected)
        self.exchange.subscribe(messages.Heartbeat, self._receive_heartbeat)
        self.exchange.subscribe(messages.ConfigurationAsk, self._send_configuration)
        self.exchange.subscribe(messages.ConfigurationNews, self._receive_configuration)
        self.exchange.subscribe(messages.PlanAsk, self._send_plans)
        self.exchange.subscribe(messages.PlanNews, self._receive_plans)

    def compose_heartbeat(self, peer: str) -> messages.Heartbeat:
        """Return a heartbeat with the current revisions and the facts not yet sent to ``peer``."""
        number, revision = self.configuration.current.number, self.plans.revision
        self.facts.update_own(
            member=self.roster.own,
            configuration=number,
            plan_revision=revision,
            holds=tuple(hold.hold for hold in self.configuration.holds()),
        )
        changed_facts = self.facts.pending_for(peer)
        return messages.Heartbeat(number, revision, plan_digest(self.plans), changed_facts)

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all connected peers at once."""
        for peer in self.exchange.connected():
            self.exchange.send(peer, self.compose_heartbeat(peer))

    async def run(self) -> None:
        """Broadcast a heartbeat at each change of the configuration until cancelled."""
        while True:
            await self.configuration.wait_changed()
            self.broadcast_heartbeat()

    def peer_numbers(self) -> dict[str, int]:
        """Return the configuration number of each connected peer that has sent a heartbeat."""
        connected = self.exchange.connected()
        return {
            entry: revisions.configuration
            for entry, revisions in self._peer_revisions.items()
            if entry in connected
        }

    def _handle_connected(self, peer: str) -> None:
        self._peer_revisions.pop(peer, None)
        self.facts.send_all_to(peer)

    def _receive_heartbeat(self, peer: str, message: messages.Heartbeat) -> None:
        for fact in message.facts:
            if self.facts.merge(fact, peer):
                self.roster.update_from_peer(fact.member)
        previous = self._peer_revisions.get(peer, _PeerRevisions(0))
        self._peer_revisions[peer] = attrs.evolve(previous, configuration=message.configuration)
        if message.configuration > self.configuration.current.number:
            self._request_configuration(peer)
        digests = (plan_digest(self.plans), message.plan_digest)
        # A peer with an older plan does not answer. The request is not repeated until one of the
        # two plans has changed.
        if digests[0] != digests[1] and digests != previous.requested_digests:
            self._peer_revisions[peer] = _PeerRevisions(message.configuration, digests)
            self.exchange.send(peer, messages.PlanAsk(_domain_revisions(self.plans)))

    def _request_configuration(self, peer: str) -> None:
        now_s = trio.current_time()
        # All peers report a new configuration at about the same time, and one response is enough.
        if now_s >= self._next_request_at_s:
            self._next_request_at_s = now_s + CONFIGURATION_REQUEST_INTERVAL_S
            own_number = self.configuration.current.number
            self.exchange.send(peer, messages.ConfigurationAsk(own_number))

    def _send_configuration(self, peer: str, message: messages.ConfigurationAsk) -> None:
        delta = self.configuration.current.delta_since(message.known)
        self.exchange.send(peer, messages.ConfigurationNews(delta))

    def _receive_configuration(self, peer: str, message: messages.ConfigurationNews) -> None:
        self._next_request_at_s = float("-inf")
        try:
            self.configuration.apply(message.delta, f"{SOURCE} {peer}")
        except snapshot.SnapshotError as error:
            self.reader.record_unreadable(f"{SOURCE} {peer}", error)
            if message.delta.base:
                # The delta does not apply to the current parts: request all of them.
                self.exchange.send(peer, messages.ConfigurationAsk(0))

    def _send_plans(self, peer: str, message: messages.PlanAsk) -> None:
        peer_revisions = {known.domain: known.revision for known in message.known}
        newer_plans = tuple(
            versioned
            for versioned in self.plans.domains()
            if versioned.revision > peer_revisions.get(versioned.plan.domain, 0)
        )
        if newer_plans:
            self.exchange.send(peer, messages.PlanNews(newer_plans))

    def _receive_plans(self, peer: str, message: messages.PlanNews) -> None:
        for versioned in message.plans:
            if self.plans.apply(versioned):
                LOGGER.debug(
                    "applied the plan of domain %s from peer %s", versioned.plan.domain, peer
                )


def plan_digest(plans: plan.PlanHolder) -> int:
    """Return the CRC-32 of all domains' revisions, for comparison between entries."""
    text = "".join(f"{each.domain}:{each.revision};" for each in _domain_revisions(plans))
    return zlib.crc32(text.encode())


def _domain_revisions(plans: plan.PlanHolder) -> tuple[messages.DomainRevision, ...]:
    revisions = [
        messages.DomainRevision(versioned.plan.domain, versioned.revision)
        for versioned in plans.domains()
    ]
    return tuple(sorted(revisions, key=lambda revision: revision.domain))
