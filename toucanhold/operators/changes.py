"""Operators' changes: accepted, put in force, and told truthfully."""

import collections.abc
import logging

import attrs
import trio

from toucanhold.configuration import difference, document, holder, holds, store
from toucanhold.coordination import keyvalue
from toucanhold.membership import facts, roster
from toucanhold.operators import messages
from toucanhold.peers import holds as peer_holds

# The operator waits at most this long; what is not known by then is said to be not known.
DURABLE_WAIT_S = 2.0
IN_FORCE_WAIT_S = 1.0
CHECK_INTERVAL_S = 0.02

LOGGER = logging.getLogger(__name__)

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[object]]


@attrs.define(eq=False)
class Changes:
    """Carries out checked changes.

    :ivar spreader: puts holds in force at once and makes them durable later
    :ivar refresh: reads the accepted configuration
    """

    store: store.ConfigurationStore
    configuration: holder.ConfigurationHolder
    spreader: peer_holds.HoldSpreader
    roster: roster.Roster
    facts: facts.FactTable
    refresh: Refresh

    async def apply(
        self, wanted: document.Document, expected: int, author: str
    ) -> messages.ChangeAnswer:
        """Replace inventory and rules.

        :raises store.StoreError: when it was not accepted, or is not known to be
        """
        number = await self.store.apply(wanted, expected, author)
        return await self._accepted(number)

    async def differences(self, expected: int) -> tuple[difference.Difference, ...]:
        """Return what has changed since the configuration that an operator saw."""
        with trio.move_on_after(IN_FORCE_WAIT_S):
            try:
                await self.refresh()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("differences of what this entry knows: %s", error)
        current, seen = self.configuration.accepted, self.configuration.find_accepted(expected)
        if seen is None:
            return difference.parts_changed_since(expected, current)
        return difference.between(seen, current)

    async def take_out(self, zone: str, author: str) -> messages.ChangeAnswer:
        """Take an availability zone out, at once wherever peers can be reached."""
        # A hold first: were the key-value service asked first, a slow one would keep the zone's
        # new work going for as long as its call takes, and an outage for as long as that lasts.
        hold = holds.new_hold(zone, author, self.roster.own.entry)
        self.spreader.place(hold)
        with trio.move_on_after(DURABLE_WAIT_S):
            while hold.hold not in self.configuration.accepted.resolved_holds:
                await self.configuration.wait_changed()
            return await self._accepted(self.configuration.accepted.number, hold.hold)
        return await self._answer(-1, hold.hold)

    async def return_zone(self, zone: str, author: str) -> messages.ChangeAnswer:
        """Return an availability zone.

        :raises store.StoreError: when it was not accepted, or is not known to be
        """
        known = [hold for hold in self.configuration.holds() if hold.availability_zone == zone]
        return await self._accepted(await self.store.return_zone(zone, known, author))

    async def _accepted(self, number: int, hold: str = "") -> messages.ChangeAnswer:
        with trio.move_on_after(IN_FORCE_WAIT_S):
            await self._read_until(number)
        return await self._answer(number, hold)

    async def _read_until(self, number: int) -> None:
        # This entry knows of the change, so its peers need not wait for their watches.
        while self.configuration.current.number < number:
            try:
                await self.refresh()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("reading what was accepted: %s", error)
            # Also after an answer: what this version cannot read must not be asked for without end.
            await trio.sleep(CHECK_INTERVAL_S)

    async def _answer(self, number: int, hold: str) -> messages.ChangeAnswer:
        with trio.move_on_after(IN_FORCE_WAIT_S):
            while self._not_in_force(number, hold):
                await trio.sleep(CHECK_INTERVAL_S)
        missing = self._not_in_force(number, hold)
        everyone = {member.entry for member in self.roster.members()}
        return messages.ChangeAnswer(
            number, number >= 0, tuple(sorted(everyone - missing)), tuple(sorted(missing))
        )

    def _not_in_force(self, number: int, hold: str) -> set[str]:
        entries = [member.entry for member in self.roster.members()]
        return {entry for entry in entries if not self._has_in_force(entry, number, hold)}

    def _has_in_force(self, entry: str, number: int, hold: str) -> bool:
        if entry == self.roster.own.entry:
            return number <= self.configuration.current.number
        fact = self.facts.get(entry)
        if fact is None:
            return False
        return hold in fact.holds or 0 <= number <= fact.configuration
