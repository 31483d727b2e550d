"""Which earlier planners may still act."""

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
PAUSE_BOUND_S = 30.0
PROBE_INTERVAL_S = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Terms:
    """The stored list: all terms whose holder may still act, the present one last."""

    terms: tuple[plan.Term, ...] = ()


class PredecessorProbe(abc.ABC):
    """Finds out whether an earlier planner can still send orders."""

    @abc.abstractmethod
    async def has_ended(self, term: plan.Term) -> bool:
        """Tell whether the holder acknowledged stepping down, or is known to be gone."""


class NoProbe(PredecessorProbe):
    """Knows nothing: only the bound on pauses ends a term."""

    async def has_ended(self, term: plan.Term) -> bool:
        """See :class:`PredecessorProbe`."""
        return False


@attrs.define(eq=False)
class TermLog:
    """Keeps the list of terms while this entry is planner.

    :ivar entry: this entry
    :ivar process: identifier of this process
    """

    store: keyvalue.KeyValueClient
    leadership: lease.LeasedKey
    entry: str
    process: str
    peers_address: str
    probe: PredecessorProbe = attrs.field(factory=NoProbe)
    _begun: int = attrs.field(default=0, init=False)
    _begun_at_s: float = attrs.field(default=float("-inf"), init=False)
    _earlier: tuple[plan.Term, ...] = attrs.field(default=(), init=False)

    @property
    def has_begun(self) -> bool:
        """Whether the present term is on record, so that orders may be sent."""
        return self._begun != 0 and self._begun == self.leadership.fencing

    def earlier(self) -> tuple[plan.Term, ...]:
        """Return the earlier terms whose holders may still act."""
        if trio.current_time() - self._begun_at_s >= PAUSE_BOUND_S:
            return ()
        return self._earlier

    async def begin(self) -> None:
        """Put the present term on record; a query of it if that was done.

        :raises keyvalue.KeyValueError: when that is not known to stand
        """
        fencing = self.leadership.fencing
        if self.has_begun or not fencing:
            return
        item = await self.store.read_key(TERMS_KEY)
        stored = _decode(item)
        # This process has no order on its way from a term of its own: a tick awaits its orders.
        earlier = tuple(
            term for term in stored if term.fencing < fencing and term.process != self.process
        )
        if fencing not in {term.fencing for term in stored}:
            # An order may leave only after its sender stands in the list: a planner that is not
            # in it would be unknown to its successor, who would not wait for it.
            own = plan.Term(fencing, self.entry, self.process, self.peers_address)
            if not await self._write(fencing, item, (*earlier, own)):
                return
        self._begun, self._begun_at_s, self._earlier = fencing, trio.current_time(), earlier
        if earlier:
            names = sorted({term.entry for term in earlier})
            events.log(LOGGER, events.Event.ORDERS_HELD, fencing=fencing, earlier=names)

    async def run(self) -> None:
        """Find out about earlier holders until cancelled."""
        while True:
            if self.has_begun and self.leadership.is_held():
                await self._review()
            await trio.sleep(PROBE_INTERVAL_S)

    async def _review(self) -> None:
        for term in self.earlier():
            if await self.probe.has_ended(term):
                await self._drop((term,))
        if self._earlier and not self.earlier():
            await self._drop(self._earlier)

    async def _drop(self, ended: collections.abc.Sequence[plan.Term]) -> None:
        self._earlier = tuple(term for term in self._earlier if term not in ended)
        for term in ended:
            events.log(
                LOGGER, events.Event.PREDECESSOR_ENDED, entry=term.entry, fencing=term.fencing
            )
        try:
            item = await self.store.read_key(TERMS_KEY)
            left = tuple(term for term in _decode(item) if term not in ended)
            await self._write(self.leadership.fencing, item, left)
        except keyvalue.KeyValueError as error:
            LOGGER.debug("the list of terms keeps an ended one: %s", error)

    async def _write(
        self, fencing: int, item: keyvalue.Item | None, terms: tuple[plan.Term, ...]
    ) -> bool:
        if not fencing:
            # Zero would ask for a planner's key that does not exist, which is true between terms.
            return False
        conditions = [
            keyvalue.Condition(writing.PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(TERMS_KEY, mod_revision=item.mod_revision if item else 0),
        ]
        record = keyvalue.Write(TERMS_KEY, codec.to_json(Terms(terms)))
        return (await self.store.commit(conditions, [record])).succeeded


def _decode(item: keyvalue.Item | None) -> tuple[plan.Term, ...]:
    if item is None:
        return ()
    try:
        return codec.from_json(item.value, Terms).terms
    except codec.CodecError as error:
        LOGGER.error("the stored list of planner terms is not readable: %s", error)
        return ()
