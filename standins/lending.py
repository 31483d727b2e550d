"""Datagrams between entries in memory, with losses and partitions."""

from __future__ import annotations

import collections
import math
import random

import attrs
import trio

from toucanhold.gateway import retry_lending


@attrs.define(eq=False)
class LoanNetwork:
    """Carries datagrams between addresses.

    :ivar delay_s: longest delay of a datagram
    :ivar loss: fraction of the datagrams that are lost
    :ivar isolated: addresses whose datagrams are lost
    :ivar sent_counts: number of datagrams by the sender's address
    """

    rng: random.Random
    delay_s: float = 0.003
    loss: float = 0.0
    isolated: set[str] = attrs.field(factory=set)
    sent_counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _queues: dict[str, trio.MemorySendChannel] = attrs.field(factory=dict, init=False)

    def transport(self, address: str) -> MemoryLoanTransport:
        """Return the transport of one address; earlier ones receive nothing any more."""
        send_channel, receive_channel = trio.open_memory_channel(math.inf)
        self._queues[address] = send_channel
        return MemoryLoanTransport(self, address, receive_channel)

    def send(self, data: bytes, sender: str, receiver: str) -> None:
        """Send a datagram that arrives later, if it does."""
        self.sent_counts[sender] += 1
        is_lost = self.rng.random() < self.loss or self.isolated & {sender, receiver}
        if not is_lost and receiver in self._queues:
            arrives_s = trio.current_time() + self.rng.uniform(0.2, 1.0) * self.delay_s
            self._queues[receiver].send_nowait((arrives_s, data))


@attrs.define(eq=False)
class MemoryLoanTransport(retry_lending.LoanTransport):
    """The transport of one address."""

    network: LoanNetwork
    address: str
    _receive_channel: trio.MemoryReceiveChannel

    async def open(self) -> None:
        """See :class:`retry_lending.LoanTransport`."""

    async def send(self, data: bytes, address: str) -> None:
        """See :class:`retry_lending.LoanTransport`."""
        self.network.send(data, self.address, address)

    async def receive(self) -> bytes:
        """See :class:`retry_lending.LoanTransport`."""
        arrives_s, data = await self._receive_channel.receive()
        await trio.sleep_until(arrives_s)
        return data
