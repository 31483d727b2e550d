"""Tracks the registered backend servers, and those whose registrations lapsed recently."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue, mirror
from toucanhold.registry import servers

# Registrations that lapsed during an outage of the key-value service return within about two
# seconds of its end, as servers renew them every 1.2 s. Those still missing after that are dropped.
LAPSE_GRACE_S = 2.2
CHECK_INTERVAL_S = 0.25
# A server that is partitioned from the key-value service keeps working for its group, and answers
# probes. Without an answer for this long, its last known state is too old to be useful.
LAPSED_RETENTION_S = 30.0
# A start of the whole system registers thousands of servers at once, at each entry.
MAX_LOGGED_REGISTRATIONS = 4
# Processes that were marked as leaving, also before their registrations are known here.
MAX_LEAVING = 4096

LOGGER = logging.getLogger(__name__)

Decoder = collections.abc.Callable[[keyvalue.Item], servers.Server | None]


@attrs.define(eq=False)
class Registry:
    """Local table of the backend servers, by server id.

    :ivar prefix: key prefix of the registrations in the key-value service
    :ivar decode: decodes one registration; returns None if it describes no usable server
    :ivar servers: servers that are registered
    :ivar lapsed: last known state of servers whose registrations lapsed or cannot be read; they get
        no requests, but may still work for a group
    :ivar version: grows with each change
    """

    kv_mirror: mirror.Mirror
    prefix: str
    decode: Decoder
    servers: dict[str, servers.Server] = attrs.field(factory=dict, init=False)
    lapsed: dict[str, servers.Server] = attrs.field(factory=dict, init=False)
    version: int = attrs.field(default=0, init=False)
    _answering: set[str] = attrs.field(factory=set, init=False)
    _last_sign_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _leaving: set[tuple[str, int]] = attrs.field(factory=set, init=False)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _listeners: list[collections.abc.Callable[[], None]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the registrations."""
        self.kv_mirror.add_listener(self.prefix, self._apply_changes)

    def add_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def of_service(self, service: str) -> list[servers.Server]:
        """Return the servers of one service."""
        return [server for server in self.servers.values() if server.service == service]

    def is_registered(self, incarnation: tuple[str, int]) -> bool:
        """Return whether a server is registered with this start time."""
        name, born_ms = incarnation
        server = self.servers.get(name)
        return server is not None and server.born_ms == born_ms

    def may_be_alive(self, incarnation: tuple[str, int]) -> bool:
        """Return whether no other process of this server is registered, so it may still run."""
        name, born_ms = incarnation
        server = self.servers.get(name)
        return server is None or server.born_ms == born_ms

    def find(self, incarnation: tuple[str, int]) -> servers.Server | None:
        """Return the server with this name and start time, registered or lapsed, if known."""
        name, born_ms = incarnation
        server = self.servers.get(name) or self.lapsed.get(name)
        return server if server is not None and server.born_ms == born_ms else None

    def works_unregistered(self, incarnation: tuple[str, int]) -> bool:
        """Return whether a server has answered a probe since its registration lapsed."""
        return incarnation[0] in self._answering and self.find(incarnation) is not None

    def mark_leaving(self, incarnation: tuple[str, int]) -> None:
        """Consider a process of a server to be leaving, whatever its registration says."""
        if len(self._leaving) >= MAX_LEAVING:
            self._leaving = {each for each in self._leaving if self.find(each) is not None}
        self._leaving.add(incarnation)
        name = incarnation[0]
        for known in (self.servers, self.lapsed):
            if name in known:
                known[name] = self._with_draining(known[name])
        self._notify()

    def add_lapsed(self, server: servers.Server) -> None:
        """Add a server whose registration lapsed earlier, unless it is registered or restarted."""
        if server.server_id not in self.servers:
            self.lapsed[server.server_id] = self._with_draining(server)
            self._last_sign_s[server.server_id] = trio.current_time()

    def update_lapsed(self, server: servers.Server) -> None:
        """Update a lapsed server with the state that it reported to a probe."""
        if server.server_id in self.lapsed:
            self.lapsed[server.server_id] = self._with_draining(server)
            self._last_sign_s[server.server_id] = trio.current_time()
            self._answering.add(server.server_id)

    def remove(self, name: str) -> None:
        """Drop a lapsed server, as it is dead or registered again."""
        self.lapsed.pop(name, None)
        self._last_sign_s.pop(name, None)
        self._answering.discard(name)

    async def run(self) -> None:
        """Periodically drop lapsed registrations, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._drop_missing()
            oldest_s = trio.current_time() - LAPSED_RETENTION_S
            for name in [name for name, since_s in self._last_sign_s.items() if since_s < oldest_s]:
                self.remove(name)

    def _apply_changes(self, keys: frozenset[str]) -> None:
        registered: list[tuple[servers.Server, int]] = []
        for key in keys:
            name = key.removeprefix(self.prefix)
            item = self.kv_mirror.items.get(key)
            if item is None:
                self._missing_since_s[name] = trio.current_time()
                continue
            self._missing_since_s.pop(name, None)
            if self._put(name, item):
                registered.append((self.servers[name], item.mod_revision))
        _log_registered(registered)
        self._drop_missing()
        self._notify()

    def _put(self, name: str, item: keyvalue.Item) -> bool:
        """Apply a registration; return whether it is that of another process than before."""
        server = self.decode(item)
        if server is None:
            # A key overwritten with other data no longer describes the server, so the server must
            # not stay in use. Its process may still work for a group.
            events.log(LOGGER, events.Event.REGISTRATION_UNREADABLE, server=name)
            self._mark_lapsed(name)
            return False
        previous = self.servers.get(name)
        self.servers[name] = self._with_draining(server)
        self.remove(name)
        return previous is None or previous.incarnation != server.incarnation

    def _with_draining(self, server: servers.Server) -> servers.Server:
        is_marked = server.incarnation in self._leaving
        return attrs.evolve(server, is_leaving=True) if is_marked else server

    def _drop_missing(self) -> None:
        if not self._missing_since_s or not self._may_drop():
            return
        for name, since_s in list(self._missing_since_s.items()):
            del self._missing_since_s[name]
            if self._mark_lapsed(name):
                missing_s = round(trio.current_time() - since_s, 3)
                events.log(LOGGER, events.Event.SERVER_GONE, server=name, missing_s=missing_s)
        self._notify()

    def _mark_lapsed(self, name: str) -> bool:
        """Move a server to the lapsed ones; return whether it was registered."""
        server = self.servers.pop(name, None)
        if server is None:
            return False
        self.lapsed[name] = server
        self._last_sign_s[name] = trio.current_time()
        return True

    def _may_drop(self) -> bool:
        # All leases may lapse during an outage of the key-value service. Applying that at once
        # would take every server out of service; the grace period lets live servers re-register.
        return self.kv_mirror.is_answering and self.kv_mirror.since_failure_s > LAPSE_GRACE_S

    def _notify(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()


def _log_registered(registered: list[tuple[servers.Server, int]]) -> None:
    for server, revision in registered[:MAX_LOGGED_REGISTRATIONS]:
        events.log(
            LOGGER,
            events.Event.SERVER_REGISTERED,
            server=server.server_id,
            service=server.service,
            availability_zone=server.zone,
            domain=server.domain,
            revision=revision,
        )
    if len(registered) > MAX_LOGGED_REGISTRATIONS:
        not_named = len(registered) - MAX_LOGGED_REGISTRATIONS
        events.log(LOGGER, events.Event.SERVERS_REGISTERED, not_named=not_named)
