"""Datagrams between entries: what each has in flight, avoids, and has lost servers to.

Counts are worth nothing when they come late, and the next ones follow in a tenth of a second. So
they go by datagram: nothing is sent twice, waits behind a lost packet, or needs a connection to
each other entry.
"""

from __future__ import annotations

import collections.abc
import errno
import logging
import random

import attrs
import msgpack
import trio

from toucanhold import codec, waking
from toucanhold.gateway import crashes, entries, load

# Each head gets about one request in this time from all entries together; counts that are older
# would send two entries to the same head.
SEND_INTERVAL_S = 0.1
# Each entry sends to so many others at a time, in turn. At seven entries that is everyone; at
# sixty each hears of each other in less than a second, and the number of datagrams stays that of
# seven.
SENDS_AT_A_TIME = 7
DATAGRAM_LIMIT_BYTES = 16 * 1024
# An entry that has said nothing for so many rounds is taken to have ended, and its requests with
# it.
MISSED_ROUNDS = 8
MAX_CRASHES_SENT = 32

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Notice:
    """What an entry tells the others.

    :ivar in_flight: requests by server
    :ivar silent: servers whose streams fell silent, or that could not be reached
    :ivar crashes: lost connections by request
    """

    entry: str
    boot: str
    in_flight: dict[str, int]
    silent: list[str]
    crashes: list[tuple[str, int]]


@attrs.define(eq=False)
class Exchange:
    """Tells the other entries, and hears them.

    :ivar on_silent: told servers that another entry found silent, and that entry's name
    """

    listed: entries.EntryList
    loads: load.LoadBoard
    crashes: crashes.CrashMemory
    on_silent: collections.abc.Callable[[str, str], None]
    rng: random.Random
    _urgent: waking.Signal = attrs.field(factory=waking.Signal, init=False)
    _is_urgent: bool = attrs.field(default=False, init=False)
    _silent_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _next_receiver: int = attrs.field(default=0, init=False)

    def note_silent(self, server_id: str) -> None:
        """Tell all others of a silent server at once, and once more in turn."""
        # Each tenth of a second that they go on sending to it, their callers wait for nothing.
        self._silent_until_s[server_id] = trio.current_time() + self._round_s()
        self._is_urgent = True
        self._urgent.wake()

    def _round_s(self) -> float:
        """Return the time in which each other entry is sent to once."""
        rounds = -(-len(self.listed.others()) // SENDS_AT_A_TIME)
        return SEND_INTERVAL_S * max(1, rounds)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self.listed.own.exchange_address.rpartition(":")
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
            await socket.bind((host, int(port)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                nursery.start_soon(self._send, socket)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        while True:
            if not self._is_urgent:
                await self._urgent.wait(SEND_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            receivers = self.listed.others() if self._is_urgent else self._next_receivers()
            self._is_urgent = False
            data = msgpack.packb(codec.CONVERTER.unstructure(self._notice()))
            for other in receivers:
                host, _, port = other.exchange_address.rpartition(":")
                try:
                    await socket.sendto(data, (host, int(port)))
                except OSError as error:
                    LOGGER.debug("notice to %s not sent: %s", other.entry, error)

    def _next_receivers(self) -> list[entries.Entry]:
        others = self.listed.others()
        if len(others) <= SENDS_AT_A_TIME:
            return others
        others.sort(key=lambda each: each.entry)
        begin = self._next_receiver % len(others)
        self._next_receiver = begin + SENDS_AT_A_TIME
        return (others + others)[begin : begin + SENDS_AT_A_TIME]

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # A refused datagram comes back as an error of the next call.
                if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                    raise
                continue
            self._hear(data)

    def _notice(self) -> Notice:
        now_s = trio.current_time()
        self._silent_until_s = {
            name: until_s for name, until_s in self._silent_until_s.items() if until_s > now_s
        }
        own = self.listed.own
        return Notice(
            own.entry,
            own.boot,
            dict(self.loads.own),
            list(self._silent_until_s),
            self.crashes.recent(MAX_CRASHES_SENT),
        )

    def _hear(self, data: bytes) -> None:
        try:
            notice = codec.from_plain_tolerant(msgpack.unpackb(data), Notice)
        except (codec.CodecError, ValueError, msgpack.UnpackException) as error:
            LOGGER.warning("a notice could not be read: %s", error)
            return
        self.loads.hear(notice.entry, notice.in_flight, valid_s=MISSED_ROUNDS * self._round_s())
        for mark, count in notice.crashes:
            self.crashes.hear(mark, count)
        for server_id in notice.silent:
            self.on_silent(server_id, notice.entry)
