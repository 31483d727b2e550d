"""Carries out operators' changes and reports where they are in force."""

import collections.abc
import logging

import attrs
import trio

from toucanhold.configuration import difference, document, holder, holds, store
from toucanhold.coordination import keyvalue
from toucanhold.membership import facts, roster
from toucanhold.operators import messages
from toucanhold.peers import holds as peer_holds

# An operator's request waits at most this long; a change that is not confirmed by then is reported
# as not confirmed.
DURABLE_WAIT_S = 2.0
IN_FORCE_WAIT_S = 1.0
CHECK_INTERVAL_S = 0.02

LOGGER = logging.getLogger(__name__)

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[object]]


@attrs.define(eq=False)
class ChangeCoordinator:
    """Carries out validated changes and waits, for a bounded time, until they are in force.

    :ivar hold_broadcaster: puts holds in force on all reachable entries at once and makes them
        durable later
    :ivar refresh: reads the accepted configuration from the key-value service
    """

    store: store.ConfigurationStore
    configuration: holder.ConfigurationHolder
    hold_broadcaster: peer_holds.HoldBroadcaster
    roster: roster.Roster
    facts: facts.FactTable
    refresh: Refresh

    async def apply(
        self, new_document: document.Document, expected: int, author: str
    ) -> messages.ChangeAnswer:
        """Replace inventory and rules.

        :param expected: number of the configuration that the operator saw
        :raises store.StoreError: when the document was not accepted, or the outcome is unknown
        """
        configuration_number = await self.store.apply(new_document, expected, author)
        return await self._answer_accepted(configuration_number)

    async def differences_since(self, expected: int) -> tuple[difference.Difference, ...]:
        """Return the differences between the configuration that an operator saw and the latest one.

        :param expected: number of the configuration that the operator saw
        """
        with trio.move_on_after(IN_FORCE_WAIT_S):
            try:
                await self.refresh()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("comparing with a possibly outdated configuration: %s", error)
        current, base = self.configuration.accepted, self.configuration.find_accepted(expected)
        if base is None:
            return difference.parts_changed_since(expected, current)
        return difference.between(base, current)

    async def take_zone_out(self, zone: str, author: str) -> messages.ChangeAnswer:
        """Take an availability zone out of service, at once on all entries that can be reached."""
        # The hold comes first: if the key-value service were called first, the zone would get new
        # work for as long as a slow call takes, or as long as an outage of that service lasts.
        hold = holds.new_hold(zone, author, self.roster.own.entry)
        self.hold_broadcaster.add_hold(hold)
        with trio.move_on_after(DURABLE_WAIT_S):
            while hold.hold not in self.configuration.accepted.resolved_holds:
                await self.configuration.wait_changed()
            return await self._answer_accepted(self.configuration.accepted.number, hold.hold)
        return await self._answer(-1, hold.hold)

    async def return_zone(self, zone: str, author: str) -> messages.ChangeAnswer:
        """Return an availability zone to service.

        :raises store.StoreError: when the change was not accepted, or the outcome is unknown
        """
        zone_holds = [hold for hold in self.configuration.holds() if hold.availability_zone == zone]
        return await self._answer_accepted(await self.store.return_zone(zone, zone_holds, author))

    async def _answer_accepted(
        self, configuration_number: int, hold: str = ""
    ) -> messages.ChangeAnswer:
        with trio.move_on_after(IN_FORCE_WAIT_S):
            await self._refresh_until(configuration_number)
        return await self._answer(configuration_number, hold)

    async def _refresh_until(self, configuration_number: int) -> None:
        # This entry already knows of the change. It refreshes at once, so that its peers need not
        # wait for their watches.
        while self.configuration.current.number < configuration_number:
            try:
                await self.refresh()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("cannot read the accepted configuration: %s", error)
            # Sleep after successful reads too: a configuration that this version cannot decode must
            # not be requested in a busy loop.
            await trio.sleep(CHECK_INTERVAL_S)

    async def _answer(self, configuration_number: int, hold: str) -> messages.ChangeAnswer:
        with trio.move_on_after(IN_FORCE_WAIT_S):
            while self._not_in_force(configuration_number, hold):
                await trio.sleep(CHECK_INTERVAL_S)
        pending = self._not_in_force(configuration_number, hold)
        all_entries = {member.entry for member in self.roster.members()}
        return messages.ChangeAnswer(
            configuration_number,
            configuration_number >= 0,
            tuple(sorted(all_entries - pending)),
            tuple(sorted(pending)),
        )

    def _not_in_force(self, configuration_number: int, hold: str) -> set[str]:
        entries = [member.entry for member in self.roster.members()]
        return {
            entry
            for entry in entries
            if not self._is_in_force_on(entry, configuration_number, hold)
        }

    def _is_in_force_on(self, entry: str, configuration_number: int, hold: str) -> bool:
        if entry == self.roster.own.entry:
            return configuration_number <= self.configuration.current.number
        fact = self.facts.get(entry)
        if fact is None:
            return False
        return hold in fact.holds or 0 <= configuration_number <= fact.configuration
