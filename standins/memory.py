"""In-memory key-value service and peer network, for tests on trio's mock clock."""

from __future__ import annotations

import base64
import collections
import collections.abc
import contextlib

import attrs
import trio
import trio.testing

from standins import keyvalue, serving
from toucanhold.coordination import etcd, mirror, watching
from toucanhold.coordination import keyvalue as contract
from toucanhold.peers import transport

EXPIRY_INTERVAL_S = 0.1
ALL_KEYS_PREFIX = ""
LOSABLE_CALL_KINDS = ("kv/txn", "lease/grant", "lease/revoke", "lease/keepalive")


@attrs.define
class Faults:
    """Faults injected into the calls of one client of the key-value service.

    :ivar mode: ``up``, ``down`` (refuses at once), ``silent`` (never answers) or ``slow``
    :ivar delay_s: duration of each call while the mode is ``slow``, seconds
    :ivar lose_answers: number of next calls that take effect but whose response is lost
    :ivar lose_requests: number of next calls that are lost before they take effect; the client
        cannot tell
    :ivar lose_kinds: kinds of calls that may be lost
    :ivar silent_watches: watches report no events, as on a connection that broke unnoticed
    """

    mode: str = "up"
    delay_s: float = 0.5
    lose_answers: int = 0
    lose_requests: int = 0
    lose_kinds: tuple[str, ...] = LOSABLE_CALL_KINDS
    silent_watches: bool = False


@attrs.define(eq=False)
class MemoryPlatform:
    """One in-memory key-value store with any number of clients.

    :ivar faults: injected faults by client name
    :ivar calls: number of calls by client name and kind
    """

    store: keyvalue.Store = attrs.field(factory=keyvalue.Store)
    faults: dict[str, Faults] = attrs.field(factory=dict)
    calls: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    _default_mode: str = "up"

    def client(self, name: str) -> MemoryClient:
        """Return a client that has its own injected faults."""
        self.faults.setdefault(name, Faults(self._default_mode))
        return MemoryClient("http://memory", name, platform=self)

    def change_source(self, name: str) -> MemoryChangeSource:
        """Return a client that also reports changes; it has its own injected faults."""
        self.faults.setdefault(name, Faults(self._default_mode))
        return MemoryChangeSource("http://memory", name, platform=self)

    def set_mode(self, mode: str, *names: str) -> None:
        """Set the mode of the named clients, or of all present and future clients."""
        for name in names or list(self.faults):
            self.faults[name].mode = mode
        if not names:
            if self._is_down() and mode in ("up", "slow"):
                # etcd extends all leases after a leader election, so none expires in an outage.
                self.store.renew_leases()
            self._default_mode = mode

    def expire(self) -> None:
        """Revoke expired leases, unless the whole store is down."""
        if not self._is_down():
            self.store.expire()

    def _is_down(self) -> bool:
        return self._default_mode in ("down", "silent")


@attrs.define(eq=False)
class MemoryClient(etcd.EtcdClient):
    """An etcd client that encodes and decodes as usual but calls the store without HTTP."""

    platform: MemoryPlatform = attrs.field(kw_only=True)

    @property
    def faults(self) -> Faults:
        """Faults injected into this client's calls."""
        return self.platform.faults[self.client_name]

    async def close(self) -> None:
        """See :class:`contract.KeyValueClient`."""
        await trio.lowlevel.checkpoint()

    @contextlib.asynccontextmanager
    async def watch(self, prefix: str, start_revision: int):
        """See :class:`contract.KeyValueClient`."""
        self.platform.calls[self.client_name, "watch"] += 1
        await self._apply_faults()
        yield self._watched_revisions(prefix, start_revision)

    async def _watched_revisions(self, prefix: str, next_revision: int):
        store = self.platform.store
        start, end = etcd.prefix_range(prefix)
        while True:
            self.platform.expire()
            if self.faults.mode == "down":
                raise contract.IndeterminateError("the watch connection was lost")
            if next_revision < store.compact_revision:
                raise contract.CompactedError(
                    f"revision {next_revision} is older than the compact revision "
                    f"{store.compact_revision}"
                )
            changed, latest = store.changed, store.revision
            if self.faults.mode != "silent" and not self.faults.silent_watches:
                for revision, _ in store.events_since(next_revision, start, end):
                    yield revision
                next_revision = max(next_revision, latest + 1)
            with trio.move_on_after(EXPIRY_INTERVAL_S):
                await changed.wait()

    async def _call(self, path: str, body: dict) -> dict:
        kind = path.removeprefix("/v3/")
        self.platform.calls[self.client_name, kind] += 1
        await self._apply_faults()
        faults = self.faults
        losable = kind in faults.lose_kinds
        if losable and faults.lose_requests:
            faults.lose_requests -= 1
            raise contract.IndeterminateError(f"{path}: the request was lost")
        self.platform.expire()
        try:
            answer = self.platform.store.call(kind.removeprefix("kv/"), body)
        except serving.HttpError as error:
            raise contract.IndeterminateError(f"{path}: {error}") from error
        if losable and faults.lose_answers:
            faults.lose_answers -= 1
            raise contract.IndeterminateError(f"{path}: the response was lost")
        return answer

    async def _apply_faults(self) -> None:
        await trio.lowlevel.checkpoint()
        mode, delay_s = self.faults.mode, self.faults.delay_s
        if mode == "down":
            raise contract.UnavailableError("the key-value service refused the connection")
        if mode == "silent" or (mode == "slow" and delay_s > self.call_timeout_s):
            await trio.sleep(self.call_timeout_s)
            raise contract.IndeterminateError("no answer in time")
        if mode == "slow":
            await trio.sleep(delay_s)


@attrs.define(eq=False)
class MemoryChangeSource(MemoryClient, watching.ChangeSource):
    """An in-memory client that also reports changes."""

    async def read_all(self, may_be_stale: bool) -> contract.RangeResult:
        """See :class:`watching.ChangeSource`."""
        return await self.read(ALL_KEYS_PREFIX)

    async def read_changes(self, after_revision: int, wait_s: float) -> mirror.Changes:
        """See :class:`watching.ChangeSource`."""
        self.platform.calls[self.client_name, "watch"] += 1
        await self._apply_faults()
        async with self.watch(ALL_KEYS_PREFIX, after_revision + 1) as revisions:
            with trio.move_on_after(wait_s):
                async for _ in revisions:
                    break
        return await self._changes_after(after_revision)

    async def _changes_after(self, after_revision: int) -> mirror.Changes:
        store = self.platform.store
        if self.faults.mode == "silent":
            raise contract.IndeterminateError("no answer in time")
        if self.faults.silent_watches:
            return mirror.Changes(after_revision, after_revision)
        # Changes made while the items are read are reported by the next call.
        revision = store.revision
        changed_revisions = {
            base64.b64decode(event["kv"]["key"]).decode(): changed
            for changed, events in store.events_since(
                after_revision + 1, *etcd.prefix_range(ALL_KEYS_PREFIX)
            )
            for event in events
        }
        present = {item.key: item for item in (await self.read(ALL_KEYS_PREFIX)).items}
        return mirror.Changes(
            after_revision,
            revision,
            tuple(present[key] for key in sorted(changed_revisions.keys() & present.keys())),
            tuple(
                mirror.Deletion(key, changed_revisions[key])
                for key in sorted(changed_revisions.keys() - present.keys())
            ),
        )


@attrs.define(eq=False)
class MemoryNetwork:
    """Streams between named hosts, with injected partitions that lose data without an error."""

    _listeners: dict[str, tuple[str, transport.StreamHandler, trio.Nursery]] = attrs.field(
        factory=dict
    )
    _partitions: set[frozenset[str]] = attrs.field(factory=set)
    _blocked_connections: set[tuple[str, str]] = attrs.field(factory=set)
    _streams: list[_LossyStream] = attrs.field(factory=list)

    def transport(self, name: str) -> MemoryTransport:
        """Return the transport of one host."""
        return MemoryTransport(self, name)

    def partition(self, first_host: str, second_host: str) -> None:
        """Lose all data and connections between two hosts from now on, without an error."""
        self._partitions.add(frozenset((first_host, second_host)))
        for stream in self._streams:
            if stream.hosts == frozenset((first_host, second_host)):
                stream.is_lossy = True

    def isolate(self, name: str, others: collections.abc.Iterable[str]) -> None:
        """Partition one host from all ``others``."""
        for other in others:
            if other != name:
                self.partition(name, other)

    def streams(self) -> list[_LossyStream]:
        """Return both ends of every stream opened so far, closed ones included."""
        return list(self._streams)

    def block_connections(self, source: str, destination: str) -> None:
        """Let new connections from ``source`` to ``destination`` hang; open ones stay."""
        self._blocked_connections.add((source, destination))

    def heal(self) -> None:
        """Remove all partitions for new connections; existing streams stay lossy."""
        self._partitions.clear()
        self._blocked_connections.clear()

    def listen(
        self, address: str, name: str, handler: transport.StreamHandler, nursery: trio.Nursery
    ) -> None:
        """Register a listener.

        :param name: host that listens
        :param nursery: runs ``handler`` for each accepted stream
        :raises transport.TransportError: when the address is in use
        """
        if address in self._listeners:
            raise transport.TransportError(f"cannot listen on {address}: the address is in use")
        self._listeners[address] = (name, handler, nursery)

    def remove_listener(self, address: str) -> None:
        """Remove a listener."""
        del self._listeners[address]

    async def connect(self, source: str, address: str) -> trio.abc.Stream:
        """Open a stream from host ``source``; hangs while the hosts are partitioned.

        :raises transport.TransportError: when nothing listens on ``address``
        """
        await trio.lowlevel.checkpoint()
        if address not in self._listeners:
            raise transport.TransportError(f"nothing listens on {address}")
        name, handler, nursery = self._listeners[address]
        hosts = frozenset((source, name))
        if hosts in self._partitions or (source, name) in self._blocked_connections:
            await trio.sleep_forever()
        client_end, server_end = trio.testing.memory_stream_pair()
        streams = _LossyStream(client_end, hosts), _LossyStream(server_end, hosts)
        self._streams += streams
        nursery.start_soon(handler, streams[1])
        return streams[0]


@attrs.define(eq=False)
class _LossyStream(trio.abc.Stream):
    """A memory stream that can be made to lose all data.

    :ivar hosts: names of the two hosts that it connects
    :ivar is_lossy: whether data is lost from now on
    """

    inner: trio.abc.Stream
    hosts: frozenset[str]
    is_lossy: bool = False
    is_closed: bool = False

    async def send_all(self, data: bytes) -> None:
        """Send the data, or drop it while the stream is lossy."""
        await trio.lowlevel.checkpoint()
        if not self.is_lossy:
            await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data; the end of a lossy stream is lost too, so the call then hangs."""
        data = await self.inner.receive_some(max_bytes)
        if self.is_lossy and not data:
            await trio.sleep_forever()
        return data

    async def aclose(self) -> None:
        """Close this end."""
        self.is_closed = True
        await self.inner.aclose()


@attrs.define(eq=False)
class MemoryTransport(transport.PeerTransport):
    """The transport of one host of a :class:`MemoryNetwork`.

    :ivar name: name of the host
    """

    network: MemoryNetwork
    name: str

    async def connect(self, address: str) -> trio.abc.Stream:
        """See :class:`transport.PeerTransport`."""
        return await self.network.connect(self.name, address)

    async def listen(
        self,
        address: str,
        handler: transport.StreamHandler,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See :class:`transport.PeerTransport`."""
        async with trio.open_nursery() as nursery:
            self.network.listen(address, self.name, handler, nursery)
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                self.network.remove_listener(address)
