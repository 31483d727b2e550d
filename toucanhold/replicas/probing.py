"""Probes servers that may be dead, and witnesses that show whether a zone is partitioned."""

from __future__ import annotations

import collections.abc

import attrs
import trio

from toucanhold import supervision
from toucanhold.registry import registry, servers
from toucanhold.replicas import ordering, records

# Probe interval of members whose registration has lapsed. A dead member stalls its group for up to
# this long unless the group's streams reveal it sooner.
LAPSED_PROBE_INTERVAL_S = 0.5
# Probe interval of servers that may be paused.
PAUSED_PROBE_INTERVAL_S = 0.25
# Other servers of the same zone that are probed together with servers that may be dead.
WITNESSES_PER_ZONE = 2


@attrs.define(eq=False)
class Prober:
    """Probes members of groups with a suspected head, and members with a lapsed registration.

    :ivar on_dead: called after a lapsed server was found dead and dropped from the registry
    """

    group_table: records.GroupTable
    server_registry: registry.Registry
    order_sender: ordering.OrderSender
    on_dead: collections.abc.Callable[[], None]
    _suspects: set[str] = attrs.field(factory=set, init=False)
    _last_probe_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_paused_probe_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def suspect(self, server_id: str) -> None:
        """Add a head that stopped responding to the servers to probe."""
        self._suspects.add(server_id)

    def probe(self, nursery: trio.Nursery) -> None:
        """Start the probes that are due; the order sender and registry record the results."""
        self._probe_suspects(nursery)
        self._probe_paused(nursery)
        self._probe_lapsed(nursery)

    def _probe_suspects(self, nursery: trio.Nursery) -> None:
        suspects, self._suspects = self._suspects, set()
        if not suspects:
            return
        groups_by_server = self.group_table.groups_by_server()
        groups = {
            groups_by_server[name].name: groups_by_server[name]
            for name in suspects
            if name in groups_by_server
        }
        probed = [
            server
            for group in groups.values()
            for server in records.find_members(group, self.server_registry)
        ]
        for server in [*probed, *self._witnesses(probed)]:
            nursery.start_soon(supervision.run, self.order_sender.probe, server)

    def _probe_paused(self, nursery: trio.Nursery) -> None:
        now_s = trio.current_time()
        for server in self.order_sender.paused():
            last_s = self._last_paused_probe_s.get(server.server_id, 0.0)
            if now_s - last_s >= PAUSED_PROBE_INTERVAL_S:
                self._last_paused_probe_s[server.server_id] = now_s
                nursery.start_soon(supervision.run, self.order_sender.probe, server)

    def _probe_lapsed(self, nursery: trio.Nursery) -> None:
        if not self.server_registry.lapsed:
            return
        now_s = trio.current_time()
        groups_by_server = self.group_table.groups_by_server()
        probed = []
        for name, server in self.server_registry.lapsed.items():
            if (
                name not in groups_by_server
                or now_s - self._last_probe_s.get(name, 0.0) < LAPSED_PROBE_INTERVAL_S
            ):
                continue
            self._last_probe_s[name] = now_s
            probed.append(server)
            nursery.start_soon(supervision.run, self._probe_lapsed_server, server)
        for witness in self._witnesses(probed):
            nursery.start_soon(supervision.run, self.order_sender.probe, witness)

    async def _probe_lapsed_server(self, server: servers.Server) -> None:
        report = await self.order_sender.probe(server)
        if report is not None:
            self.server_registry.update_lapsed(report)
        elif self.order_sender.is_unreachable(
            server.incarnation
        ) and not self.order_sender.reachability.is_partitioned(server.zone):
            self.server_registry.remove(server.server_id)
            self.on_dead()

    def _witnesses(self, probed: list[servers.Server]) -> list[servers.Server]:
        """Return servers of the same zones to probe as well.

        If they do not answer either, the zone is partitioned. Servers outside the groups and
        domains in question are preferred, as members of a group or domain fail together.
        """
        chosen: list[servers.Server] = []
        names = {server.server_id for server in probed}
        for zone in {server.zone for server in probed}:
            domains = {server.domain for server in probed if server.zone == zone}
            others = [
                server
                for server in self.server_registry.servers.values()
                if server.zone == zone and server.domain and server.server_id not in names
            ]
            others.sort(key=lambda server: (server.domain in domains, server.is_leaving))
            chosen += others[:WITNESSES_PER_ZONE]
        return chosen
