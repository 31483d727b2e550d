"""Asking servers that may be dead, and others that tell a death from a cut."""

from __future__ import annotations

import collections.abc

import attrs
import trio

from toucanhold.registry import registry, servers
from toucanhold.replicas import ordering, records

# How often a member is asked whose registration has lapsed: one that is dead would hold up its
# group for this long, if the group's streams did not tell sooner.
ASK_LAPSED_S = 0.5
# Servers of a zone that are asked beside some that may be dead.
WITNESSES = 2


@attrs.define(eq=False)
class Prober:
    """Asks members of groups whose head fell silent, and members whose registration lapsed.

    :ivar on_dead: called when a lapsed server was found dead
    """

    board: records.GroupTable
    known: registry.Registry
    orderer: ordering.Orderer
    on_dead: collections.abc.Callable[[], None]
    _suspects: set[str] = attrs.field(factory=set, init=False)
    _asked_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def suspect(self, server_id: str) -> None:
        """Take note that a head has fallen silent."""
        self._suspects.add(server_id)

    def probe(self, nursery: trio.Nursery) -> None:
        """Ask whom it is time to ask; what they answer is for the orderer and the registry."""
        self._ask_suspects(nursery)
        self._ask_lapsed(nursery)

    def _ask_suspects(self, nursery: trio.Nursery) -> None:
        suspects, self._suspects = self._suspects, set()
        if not suspects:
            return
        occupied = self.board.occupied()
        groups = {occupied[name].name: occupied[name] for name in suspects if name in occupied}
        asked = [
            server for group in groups.values() for server in records.members_of(group, self.known)
        ]
        for server in [*asked, *self._witnesses(asked)]:
            nursery.start_soon(self.orderer.probe, server)

    def _ask_lapsed(self, nursery: trio.Nursery) -> None:
        if not self.known.lapsed:
            return
        now_s = trio.current_time()
        occupied = self.board.occupied()
        asked = []
        for name, server in self.known.lapsed.items():
            if name not in occupied or now_s - self._asked_s.get(name, 0.0) < ASK_LAPSED_S:
                continue
            self._asked_s[name] = now_s
            asked.append(server)
            nursery.start_soon(self._ask_one, server)
        for witness in self._witnesses(asked):
            nursery.start_soon(self.orderer.probe, witness)

    async def _ask_one(self, server: servers.Server) -> None:
        found = await self.orderer.probe(server)
        if found is not None:
            self.known.note_report(found)
        elif not self.orderer.reach.is_cut_off(server.zone):
            self.known.forget(server.server_id)
            self.on_dead()

    def _witnesses(self, asked: list[servers.Server]) -> list[servers.Server]:
        """Return servers of the same zones to ask as well: if they are silent, the zone is cut off.

        Members of one group, and servers of one domain, fail together.
        """
        chosen: list[servers.Server] = []
        names = {server.server_id for server in asked}
        for zone in {server.zone for server in asked}:
            domains = {server.domain for server in asked if server.zone == zone}
            others = [
                server
                for server in self.known.servers.values()
                if server.zone == zone and server.domain and server.server_id not in names
            ]
            others.sort(key=lambda server: (server.domain in domains, server.is_leaving))
            chosen += others[:WITNESSES]
        return chosen
