"""The backend servers that are there now, as they registered."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue, mirror
from toucanhold.registry import servers

# Registrations that lapsed in an outage are back about two seconds after its end: the servers
# write each 1.2 s, and the service needs a moment. What is missing after that is gone.
LAPSE_GRACE_S = 2.2
CHECK_INTERVAL_S = 0.25
# A server that is cut off from the service goes on working for its group. Longer cuts than this
# are rare, and what a server said of itself before them is worth nothing by then.
LAPSED_RETENTION_S = 30.0

LOGGER = logging.getLogger(__name__)

Decoder = collections.abc.Callable[[keyvalue.Item], servers.Server | None]


@attrs.define(eq=False)
class Registry:
    """Servers by name.

    :ivar prefix: where registrations lie in the key-value service
    :ivar decode: reads one registration; None for one that names no usable server
    :ivar servers: those that are there
    :ivar lapsed: those whose registrations are gone, as last known: they get no requests, but may
        still work for a group
    """

    kv_mirror: mirror.Mirror
    prefix: str
    decode: Decoder
    servers: dict[str, servers.Server] = attrs.field(factory=dict, init=False)
    lapsed: dict[str, servers.Server] = attrs.field(factory=dict, init=False)
    version: int = attrs.field(default=0, init=False)
    _lapsed_at_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _listeners: list[collections.abc.Callable[[], None]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the registrations."""
        self.kv_mirror.listen(self.prefix, self._apply_changes)

    def add_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def of_service(self, service: str) -> list[servers.Server]:
        """Return the servers of one service."""
        return [server for server in self.servers.values() if server.service == service]

    def is_registered(self, incarnation: tuple[str, int]) -> bool:
        """Tell whether this very start of a server is registered."""
        server = self.servers.get(incarnation[0])
        return server is not None and server.incarnation == incarnation

    def may_be_alive(self, incarnation: tuple[str, int]) -> bool:
        """Tell whether nothing known speaks against a start of a server: no later one is there."""
        server = self.servers.get(incarnation[0])
        return server is None or server.incarnation == incarnation

    def find(self, incarnation: tuple[str, int]) -> servers.Server | None:
        """Return what is known of a start of a server, registered or lapsed."""
        name = incarnation[0]
        server = self.servers.get(name) or self.lapsed.get(name)
        return server if server is not None and server.incarnation == incarnation else None

    def update_lapsed(self, server: servers.Server) -> None:
        """Take in what a lapsed server said when it was asked."""
        if server.server_id in self.lapsed:
            self.lapsed[server.server_id] = server

    def forget(self, name: str) -> None:
        """Take a lapsed server for dead."""
        self.lapsed.pop(name, None)
        self._lapsed_at_s.pop(name, None)

    async def run(self) -> None:
        """Drop registrations that did not come back after an outage, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._drop_missing()
            oldest_s = trio.current_time() - LAPSED_RETENTION_S
            for name in [name for name, since_s in self._lapsed_at_s.items() if since_s < oldest_s]:
                self.forget(name)

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            name = key.removeprefix(self.prefix)
            item = self.kv_mirror.items.get(key)
            if item is None:
                self._missing_since_s[name] = trio.current_time()
                continue
            self._missing_since_s.pop(name, None)
            self._put(name, item)
        self._drop_missing()
        self._notify()

    def _put(self, name: str, item: keyvalue.Item) -> None:
        server = self.decode(item)
        if server is None:
            # Another writer's bytes must not keep a server in use that this name no longer tells.
            events.log(LOGGER, events.Event.REGISTRATION_UNREADABLE, server=name)
            self.servers.pop(name, None)
            return
        previous = self.servers.get(name)
        if previous is None or previous.incarnation != server.incarnation:
            events.log(
                LOGGER,
                events.Event.SERVER_REGISTERED,
                server=name,
                service=server.service,
                availability_zone=server.zone,
                domain=server.domain,
                revision=item.mod_revision,
            )
        self.servers[name] = server
        self.forget(name)

    def _drop_missing(self) -> None:
        if not self._missing_since_s or not self._may_drop():
            return
        for name, since_s in list(self._missing_since_s.items()):
            del self._missing_since_s[name]
            server = self.servers.pop(name, None)
            if server is not None:
                self.lapsed[name] = server
                self._lapsed_at_s[name] = trio.current_time()
                age_s = round(trio.current_time() - since_s, 3)
                events.log(LOGGER, events.Event.SERVER_GONE, server=name, missing_s=age_s)
        self._notify()

    def _may_drop(self) -> bool:
        # All leases may lapse while the service is away; to believe that would take every server
        # out of service at once. The wait after the last failed call lets the living ones return.
        return self.kv_mirror.is_answering and self.kv_mirror.since_failure_s > LAPSE_GRACE_S

    def _notify(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()
