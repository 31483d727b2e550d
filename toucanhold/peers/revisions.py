"""Passing configuration and plan on: whoever is behind a peer gets from it what is missing."""

import logging
import zlib

import attrs
import trio

from toucanhold.configuration import holder, reading, snapshot
from toucanhold.membership import facts, roster
from toucanhold.peers import exchange, messages
from toucanhold.plans import plan

ASK_INTERVAL_S = 1.0
SOURCE = "peer"

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _Heard:
    """What a peer's last heartbeat said, and for which own digest its plan was asked for."""

    configuration: int
    asked_digests: tuple[int, int] = (0, 0)


@attrs.define(eq=False)
class RevisionExchange:
    """Composes this entry's heartbeats and acts on those of its peers."""

    exchange: exchange.Exchange
    configuration: holder.ConfigurationHolder
    reader: reading.ConfigurationReader
    plans: plan.PlanHolder
    roster: roster.Roster
    facts: facts.FactTable
    _heard: dict[str, _Heard] = attrs.field(factory=dict, init=False)
    _next_ask_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to what peers send."""
        self.exchange.subscribe_connected(self._start)
        self.exchange.subscribe(messages.Heartbeat, self._take_heartbeat)
        self.exchange.subscribe(messages.ConfigurationAsk, self._answer_configuration)
        self.exchange.subscribe(messages.ConfigurationNews, self._take_configuration)
        self.exchange.subscribe(messages.PlanAsk, self._answer_plan)
        self.exchange.subscribe(messages.PlanNews, self._take_plan)

    def heartbeat(self, peer: str) -> messages.Heartbeat:
        """Return what to tell a peer now."""
        number, revision = self.configuration.current.number, self.plans.revision
        self.facts.update_own(
            member=self.roster.own,
            configuration=number,
            plan_revision=revision,
            holds=tuple(hold.hold for hold in self.configuration.holds()),
        )
        news = self.facts.pending_for(peer)
        return messages.Heartbeat(number, revision, plan_digest(self.plans), news)

    def announce(self) -> None:
        """Tell all peers at once what the next heartbeat would say."""
        for peer in self.exchange.connected():
            self.exchange.send(peer, self.heartbeat(peer))

    async def run(self) -> None:
        """Announce each change of the configuration until cancelled."""
        while True:
            await self.configuration.wait_changed()
            self.announce()

    def heard_numbers(self) -> dict[str, int]:
        """Return the configuration's number at each peer whose stream is up and has spoken."""
        connected = self.exchange.connected()
        return {
            entry: heard.configuration for entry, heard in self._heard.items() if entry in connected
        }

    def _start(self, peer: str) -> None:
        self._heard.pop(peer, None)
        self.facts.send_all_to(peer)

    def _take_heartbeat(self, peer: str, message: messages.Heartbeat) -> None:
        for fact in message.facts:
            if self.facts.merge(fact, peer):
                self.roster.update_from_peer(fact.member)
        former = self._heard.get(peer, _Heard(0))
        self._heard[peer] = attrs.evolve(former, configuration=message.configuration)
        if message.configuration > self.configuration.current.number:
            self._ask_configuration(peer)
        digests = (plan_digest(self.plans), message.plan_digest)
        # Where the peer is the one behind, its answer is empty; the same question is not asked
        # again until one of the two plans has changed.
        if digests[0] != digests[1] and digests != former.asked_digests:
            self._heard[peer] = _Heard(message.configuration, digests)
            self.exchange.send(peer, messages.PlanAsk(_revisions(self.plans)))

    def _ask_configuration(self, peer: str) -> None:
        now_s = trio.current_time()
        # All peers tell of a new configuration at about the same time; one answer is enough.
        if now_s >= self._next_ask_s:
            self._next_ask_s = now_s + ASK_INTERVAL_S
            known = self.configuration.current.number
            self.exchange.send(peer, messages.ConfigurationAsk(known))

    def _answer_configuration(self, peer: str, message: messages.ConfigurationAsk) -> None:
        delta = self.configuration.current.delta_since(message.known)
        self.exchange.send(peer, messages.ConfigurationNews(delta))

    def _take_configuration(self, peer: str, message: messages.ConfigurationNews) -> None:
        self._next_ask_s = float("-inf")
        try:
            self.configuration.apply(message.delta, f"{SOURCE} {peer}")
        except snapshot.SnapshotError as error:
            self.reader.record_unreadable(f"{SOURCE} {peer}", error)
            if message.delta.base:
                # Parts that do not fit together: ask for all of them.
                self.exchange.send(peer, messages.ConfigurationAsk(0))

    def _answer_plan(self, peer: str, message: messages.PlanAsk) -> None:
        known = {each.domain: each.revision for each in message.known}
        later = tuple(
            each for each in self.plans.domains() if each.revision > known.get(each.plan.domain, 0)
        )
        if later:
            self.exchange.send(peer, messages.PlanNews(later))

    def _take_plan(self, peer: str, message: messages.PlanNews) -> None:
        for versioned in message.plans:
            if self.plans.apply(versioned):
                LOGGER.debug("plan of %s from peer %s", versioned.plan.domain, peer)


def plan_digest(plans: plan.PlanHolder) -> int:
    """Return a number that is equal where two entries know the same revision of each domain."""
    text = "".join(f"{each.domain}:{each.revision};" for each in _revisions(plans))
    return zlib.crc32(text.encode())


def _revisions(plans: plan.PlanHolder) -> tuple[messages.DomainRevision, ...]:
    known = [messages.DomainRevision(each.plan.domain, each.revision) for each in plans.domains()]
    return tuple(sorted(known, key=lambda each: each.domain))
