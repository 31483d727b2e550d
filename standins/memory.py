"""The key-value service and peers' streams in memory, for tests on trio's test clock."""

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
EVERYTHING = ""
LOSABLE = ("kv/txn", "lease/grant", "lease/revoke", "lease/keepalive")


@attrs.define
class Faults:
    """What one client of the key-value service meets.

    :ivar mode: ``up``, ``down`` (refuses at once), ``silent`` (never answers) or ``slow``
    :ivar delay_s: time of a call while slow
    :ivar lose_answers: number of coming writes that take effect without an answer
    :ivar lose_requests: number of coming writes that get lost with an unclear end
    :ivar lose_kinds: the kinds of calls that may be lost
    :ivar silent_watches: watches tell nothing, as on a connection that died unnoticed
    """

    mode: str = "up"
    delay_s: float = 0.5
    lose_answers: int = 0
    lose_requests: int = 0
    lose_kinds: tuple[str, ...] = LOSABLE
    silent_watches: bool = False


@attrs.define(eq=False)
class MemoryPlatform:
    """One store with any number of clients.

    :ivar calls: number of calls by client and kind
    """

    store: keyvalue.Store = attrs.field(factory=keyvalue.Store)
    faults: dict[str, Faults] = attrs.field(factory=dict)
    calls: collections.Counter[tuple[str, str]] = attrs.field(factory=collections.Counter)
    _mode: str = "up"

    def client(self, name: str) -> MemoryClient:
        """Return a client with faults of its own."""
        self.faults.setdefault(name, Faults(self._mode))
        return MemoryClient("http://memory", name, platform=self)

    def mirrored(self, name: str) -> MirroredClient:
        """Return a client that also tells what has changed."""
        self.faults.setdefault(name, Faults(self._mode))
        return MirroredClient("http://memory", name, platform=self)

    def set_mode(self, mode: str, *names: str) -> None:
        """Set the mode of the named clients; by default of all, those to come among them."""
        for name in names or list(self.faults):
            self.faults[name].mode = mode
        if not names:
            if self._is_down() and mode in ("up", "slow"):
                # As etcd does when a leader takes over: leases do not run out in an outage.
                self.store.renew_leases()
            self._mode = mode

    def expire(self) -> None:
        """End the leases whose time is over."""
        if not self._is_down():
            self.store.expire()

    def _is_down(self) -> bool:
        return self._mode in ("down", "silent")


@attrs.define(eq=False)
class MemoryClient(etcd.EtcdClient):
    """The etcd client's own encoding and decoding, without HTTP."""

    platform: MemoryPlatform = attrs.field(kw_only=True)

    @property
    def faults(self) -> Faults:
        """The faults that this client meets."""
        return self.platform.faults[self.client_name]

    async def close(self) -> None:
        """See :class:`contract.KeyValueClient`."""
        await trio.lowlevel.checkpoint()

    @contextlib.asynccontextmanager
    async def watch(self, prefix: str, start_revision: int):
        """See :class:`contract.KeyValueClient`."""
        self.platform.calls[self.client_name, "watch"] += 1
        await self._meet_faults()
        yield self._revisions(prefix, start_revision)

    async def _revisions(self, prefix: str, following: int):
        store = self.platform.store
        start, end = etcd.prefix_range(prefix)
        while True:
            self.platform.expire()
            if self.faults.mode == "down":
                raise contract.IndeterminateError("the watch was cut")
            if following < store.compact_revision:
                raise contract.CompactedError("compacted")
            changed, latest = store.changed, store.revision
            if self.faults.mode != "silent" and not self.faults.silent_watches:
                for revision, _ in store.events_from(following, start, end):
                    yield revision
                following = max(following, latest + 1)
            with trio.move_on_after(EXPIRY_INTERVAL_S):
                await changed.wait()

    async def _call(self, path: str, body: dict) -> dict:
        kind = path.removeprefix("/v3/")
        self.platform.calls[self.client_name, kind] += 1
        await self._meet_faults()
        faults = self.faults
        losable = kind in faults.lose_kinds
        if losable and faults.lose_requests:
            faults.lose_requests -= 1
            raise contract.IndeterminateError("the request was lost")
        self.platform.expire()
        try:
            answer = self.platform.store.call(kind.removeprefix("kv/"), body)
        except serving.AnswerError as error:
            raise contract.IndeterminateError(f"{path}: {error}") from error
        if losable and faults.lose_answers:
            faults.lose_answers -= 1
            raise contract.IndeterminateError("the answer was lost")
        return answer

    async def _meet_faults(self) -> None:
        await trio.lowlevel.checkpoint()
        mode, delay_s = self.faults.mode, self.faults.delay_s
        if mode == "down":
            raise contract.UnavailableError("refused")
        if mode == "silent" or (mode == "slow" and delay_s > self.call_timeout_s):
            await trio.sleep(self.call_timeout_s)
            raise contract.IndeterminateError("no answer in time")
        if mode == "slow":
            await trio.sleep(delay_s)


@attrs.define(eq=False)
class MirroredClient(MemoryClient, watching.ChangeSource):
    """A client that also tells what has changed."""

    async def read_all(self, may_be_stale: bool) -> contract.RangeResult:
        """See :class:`watching.ChangeSource`."""
        return await self.read(EVERYTHING)

    async def read_changes(self, after_revision: int, wait_s: float) -> mirror.Changes:
        """See :class:`watching.ChangeSource`."""
        self.platform.calls[self.client_name, "watch"] += 1
        await self._meet_faults()
        async with self.watch(EVERYTHING, after_revision + 1) as revisions:
            with trio.move_on_after(wait_s):
                async for _ in revisions:
                    break
        return await self._changes(after_revision)

    async def _changes(self, after_revision: int) -> mirror.Changes:
        store = self.platform.store
        if self.faults.mode == "silent":
            raise contract.IndeterminateError("no answer in time")
        if self.faults.silent_watches:
            return mirror.Changes(after_revision, after_revision)
        # What happens while the items are read belongs to the next answer.
        revision = store.revision
        touched = {
            base64.b64decode(event["kv"]["key"]).decode(): changed
            for changed, events in store.events_from(
                after_revision + 1, *etcd.prefix_range(EVERYTHING)
            )
            for event in events
        }
        present = {item.key: item for item in (await self.read(EVERYTHING)).items}
        return mirror.Changes(
            after_revision,
            revision,
            tuple(present[key] for key in sorted(touched.keys() & present.keys())),
            tuple(
                mirror.Deletion(key, touched[key])
                for key in sorted(touched.keys() - present.keys())
            ),
        )


@attrs.define(eq=False)
class MemoryNetwork:
    """Streams between named hosts; pairs of hosts can be cut off from each other silently."""

    _listeners: dict[str, tuple[str, transport.StreamHandler, trio.Nursery]] = attrs.field(
        factory=dict
    )
    _cut: set[frozenset[str]] = attrs.field(factory=set)
    _one_way: set[tuple[str, str]] = attrs.field(factory=set)
    _streams: list[_CuttableStream] = attrs.field(factory=list)

    def transport(self, name: str) -> MemoryTransport:
        """Return one host's transport."""
        return MemoryTransport(self, name)

    def cut(self, one: str, other: str) -> None:
        """Lose everything between two hosts from now on, without an error."""
        self._cut.add(frozenset((one, other)))
        for stream in self._streams:
            if stream.pair == frozenset((one, other)):
                stream.lossy = True

    def isolate(self, name: str, others: collections.abc.Iterable[str]) -> None:
        """Cut one host off from all ``others``."""
        for other in others:
            if other != name:
                self.cut(name, other)

    def streams(self) -> list[_CuttableStream]:
        """Return both ends of each stream that was ever opened."""
        return list(self._streams)

    def refuse(self, source: str, destination: str) -> None:
        """Let no new connection from ``source`` to ``destination`` through."""
        self._one_way.add((source, destination))

    def heal(self) -> None:
        """Let new streams through everywhere."""
        self._cut.clear()
        self._one_way.clear()

    def listen(
        self, address: str, name: str, handler: transport.StreamHandler, nursery: trio.Nursery
    ) -> None:
        """Register a listener."""
        if address in self._listeners:
            raise transport.TransportError(f"{address} is in use")
        self._listeners[address] = (name, handler, nursery)

    def forget(self, address: str) -> None:
        """Remove a listener."""
        del self._listeners[address]

    async def connect(self, source: str, address: str) -> trio.abc.Stream:
        """Open a stream."""
        await trio.lowlevel.checkpoint()
        if address not in self._listeners:
            raise transport.TransportError(f"nothing listens on {address}")
        name, handler, nursery = self._listeners[address]
        pair = frozenset((source, name))
        if pair in self._cut or (source, name) in self._one_way:
            await trio.sleep_forever()
        near, far = trio.testing.memory_stream_pair()
        streams = _CuttableStream(near, pair), _CuttableStream(far, pair)
        self._streams += streams
        nursery.start_soon(handler, streams[1])
        return streams[0]


@attrs.define(eq=False)
class _CuttableStream(trio.abc.Stream):
    """A memory stream that can begin to lose everything."""

    inner: trio.abc.Stream
    pair: frozenset[str]
    lossy: bool = False
    is_closed: bool = False

    async def send_all(self, data: bytes) -> None:
        """Send, or lose."""
        await trio.lowlevel.checkpoint()
        if not self.lossy:
            await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive; the end of a lossy stream does not get through either."""
        data = await self.inner.receive_some(max_bytes)
        if self.lossy and not data:
            await trio.sleep_forever()
        return data

    async def aclose(self) -> None:
        """Close."""
        self.is_closed = True
        await self.inner.aclose()


@attrs.define(eq=False)
class MemoryTransport(transport.PeerTransport):
    """One host's side of a :class:`MemoryNetwork`."""

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
                self.network.forget(address)
