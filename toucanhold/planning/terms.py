"""Records planner terms and tracks which earlier planners may still send orders."""

import abc
import collections.abc
import logging

import attrs
import trio

from toucanhold import codec, events
from toucanhold.coordination import keyvalue, lease
from toucanhold.planning import writing
from toucanhold.plans import plan

TERMS_KEY = "toucanhold/planner-terms"
MAX_PAUSE_S = 30.0
PROBE_INTERVAL_S = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Terms:
    """The stored list of terms.

    :ivar terms: all terms whose holder may still act, the current one last
    """

    terms: tuple[plan.Term, ...] = ()


class PredecessorProbe(abc.ABC):
    """Finds out whether an earlier planner can still send orders."""

    @abc.abstractmethod
    async def has_ended(self, term: plan.Term) -> bool:
        """Return whether the term's holder acknowledged stepping down or is known to have ended."""


class NoProbe(PredecessorProbe):
    """Never confirms an end, so that a term ends only after ``MAX_PAUSE_S``."""

    async def has_ended(self, term: plan.Term) -> bool:
        """See :class:`PredecessorProbe`."""
        return False


@attrs.define(eq=False)
class TermLog:
    """Maintains the stored list of terms while this entry is planner.

    :ivar entry: this entry's name
    :ivar process: identifier of this process
    :ivar peers_address: ``IP:port`` at which this process accepts peers' connections
    :ivar probe: determines whether earlier planners have ended
    """

    kv_client: keyvalue.KeyValueClient
    planner_lease: lease.LeasedKey
    entry: str
    process: str
    peers_address: str
    probe: PredecessorProbe = attrs.field(factory=NoProbe)
    _recorded_fencing: int = attrs.field(default=0, init=False)
    _recorded_at_s: float = attrs.field(default=float("-inf"), init=False)
    _predecessors: tuple[plan.Term, ...] = attrs.field(default=(), init=False)

    @property
    def is_term_recorded(self) -> bool:
        """Whether the current term is stored, so that orders may be sent."""
        return self._recorded_fencing != 0 and self._recorded_fencing == self.planner_lease.fencing

    def predecessors(self) -> tuple[plan.Term, ...]:
        """Return the earlier terms whose holders may still act.

        None are left ``MAX_PAUSE_S`` after the current term was recorded.
        """
        if trio.current_time() - self._recorded_at_s >= MAX_PAUSE_S:
            return ()
        return self._predecessors

    async def record_term(self) -> None:
        """Store the current term, or find it if it was stored already.

        :raises keyvalue.KeyValueError: when it is unknown whether the term was stored
        """
        fencing = self.planner_lease.fencing
        if self.is_term_recorded or not fencing:
            return
        item = await self.kv_client.read_key(TERMS_KEY)
        stored = _decode(item)
        # Earlier terms of this process are skipped: a tick awaits its orders, so none of theirs is
        # still in transit.
        predecessors = tuple(
            term for term in stored if term.fencing < fencing and term.process != self.process
        )
        if fencing not in {term.fencing for term in stored}:
            # A planner may send orders only after its term is in the list. Its successor would not
            # know of a planner that is missing from it, and would not wait for that planner.
            own_term = plan.Term(fencing, self.entry, self.process, self.peers_address)
            if not await self._write(fencing, item, (*predecessors, own_term)):
                return
        self._recorded_fencing, self._recorded_at_s, self._predecessors = (
            fencing,
            trio.current_time(),
            predecessors,
        )
        if predecessors:
            entries = sorted({term.entry for term in predecessors})
            events.log(LOGGER, events.Event.ORDERS_HELD, fencing=fencing, earlier=entries)

    async def run(self) -> None:
        """Probe the holders of earlier terms until cancelled."""
        while True:
            if self.is_term_recorded and self.planner_lease.is_held():
                await self._probe_predecessors()
            await trio.sleep(PROBE_INTERVAL_S)

    async def _probe_predecessors(self) -> None:
        for term in self.predecessors():
            if await self.probe.has_ended(term):
                await self._remove_ended((term,))
        if self._predecessors and not self.predecessors():
            await self._remove_ended(self._predecessors)

    async def _remove_ended(self, ended: collections.abc.Sequence[plan.Term]) -> None:
        self._predecessors = tuple(term for term in self._predecessors if term not in ended)
        for term in ended:
            events.log(
                LOGGER, events.Event.PREDECESSOR_ENDED, entry=term.entry, fencing=term.fencing
            )
        try:
            item = await self.kv_client.read_key(TERMS_KEY)
            remaining = tuple(term for term in _decode(item) if term not in ended)
            await self._write(self.planner_lease.fencing, item, remaining)
        except keyvalue.KeyValueError as error:
            LOGGER.debug("ended terms not removed from the stored list: %s", error)

    async def _write(
        self, fencing: int, item: keyvalue.Item | None, terms: tuple[plan.Term, ...]
    ) -> bool:
        if not fencing:
            # A create revision of 0 would require that the planner key does not exist, which is the
            # case between terms.
            return False
        conditions = [
            keyvalue.Condition(writing.PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(TERMS_KEY, mod_revision=item.mod_revision if item else 0),
        ]
        record = keyvalue.Write(TERMS_KEY, codec.to_json(Terms(terms)))
        return (await self.kv_client.commit(conditions, [record])).succeeded


def _decode(item: keyvalue.Item | None) -> tuple[plan.Term, ...]:
    if item is None:
        return ()
    try:
        return codec.from_json(item.value, Terms).terms
    except codec.CodecError as error:
        LOGGER.error("cannot decode the stored planner terms: %s", error)
        return ()
