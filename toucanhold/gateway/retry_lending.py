"""Lends retries to other entries, and borrows from them, by datagrams.

Failures often gather at a few entries, whose own part of a service's limit is small. Lost messages
waste retries of the limit, but never exceed it: the lender counts a loan before it sends it.
"""

from __future__ import annotations

import abc
import collections.abc
import errno
import itertools
import logging
import random

import attrs
import trio

from toucanhold import clock, supervision
from toucanhold.gateway import entries, retry_budget, retry_loans

# Entries that are asked at once, and the time until further ones are asked.
ASKED_AT_ONCE = 8
ROUND_S = 0.03
# An entry that lends less than it was asked for, or does not answer, is not asked again for so
# long.
EMPTY_S = 0.4
# While nobody lends anything, entries are asked at growing intervals.
MAX_ROUND_S = 0.5
# Beyond this interval, requests no longer wait for a loan.
EMPTY_ROUND_S = 0.15
# More is asked for than is needed, because some lend less. What is left over is returned.
ASK_FACTOR = 1.5
IDLE_S = 5.0
# The same while loans are held, to return what is left of them.
RETURN_INTERVAL_S = 0.1
DATAGRAM_LIMIT_BYTES = 1024
UNREACHABLE_ERRORS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)

LOGGER = logging.getLogger(__name__)


class LoanTransport(abc.ABC):
    """Carries datagrams between entries; they may be lost, delayed or duplicated."""

    @abc.abstractmethod
    async def open(self) -> None:
        """Begin to receive, before the other methods; called again after an error."""

    @abc.abstractmethod
    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram, best effort.

        :param address: ``host:port``
        """

    @abc.abstractmethod
    async def receive(self) -> bytes:
        """Return the next datagram."""


@attrs.define(eq=False)
class UdpTransport(LoanTransport):
    """Sends datagrams by UDP.

    :ivar address: own ``host:port``
    """

    address: str
    _socket: trio.socket.SocketType | None = attrs.field(default=None, init=False)

    async def open(self) -> None:
        """See :class:`LoanTransport`; the socket is closed with the process."""
        if self._socket is not None:
            self._socket.close()
        host, _, port = self.address.rpartition(":")
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._socket.bind((host, int(port)))

    async def send(self, data: bytes, address: str) -> None:
        """See :class:`LoanTransport`."""
        assert self._socket is not None
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            LOGGER.debug("could not send a message about a loan to %s: %s", address, error)

    async def receive(self) -> bytes:
        """See :class:`LoanTransport`."""
        assert self._socket is not None
        while True:
            try:
                data, _ = await self._socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # An ICMP error for a datagram sent earlier is raised by the next socket call.
                if error.errno not in UNREACHABLE_ERRORS:
                    raise
            else:
                return data


@attrs.frozen
class _SentAsk:
    """A request for a loan that this entry has sent."""

    lender: entries.Entry
    service: str
    amount: float
    sent_s: float


@attrs.frozen
class _GivenLoan:
    """A loan that this entry has given.

    :ivar ends_s: see :attr:`retry_loans.HeldLoan.ends_s`
    """

    service: str
    amount: float
    ends_s: float


@attrs.define(eq=False)
class RetryLending:
    """Lends retries to entries that ask, and asks others when retries run short.

    :ivar sent_count: number of messages sent
    """

    entry_list: entries.EntryList
    budget: retry_budget.RetryBudget
    transport: LoanTransport
    rng: random.Random
    sent_count: int = attrs.field(default=0, init=False)
    _round_s: float = attrs.field(default=ROUND_S, init=False)
    _numbers: itertools.count = attrs.field(factory=itertools.count, init=False)
    _asks: dict[int, _SentAsk] = attrs.field(factory=dict, init=False)
    # Key: the borrower's name, its boot ID and its number of the loan.
    _given: dict[tuple[str, str, int], _GivenLoan] = attrs.field(factory=dict, init=False)
    # Key: service and lender.
    _empty_until_s: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Let the budget wait for loans."""
        self.budget.has_lenders = True

    async def run(self) -> None:
        """Lend and borrow until cancelled."""
        await self.transport.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._borrow)

    async def _receive(self) -> None:
        while True:
            data = await self.transport.receive()
            try:
                message = retry_loans.decode(data)
            except retry_loans.LoanMessageError as error:
                LOGGER.debug("ignored a datagram: %s", error)
                continue
            await supervision.run(self._handle, message)

    async def _handle(self, message: retry_loans.Message) -> None:
        match message:
            case retry_loans.Ask():
                await self._lend(message)
            case retry_loans.Loan():
                self._accept(message)
            case retry_loans.Return():
                self._take_back(message)

    async def _lend(self, ask: retry_loans.Ask) -> None:
        borrower = self.entry_list.find(ask.entry, ask.boot) or self.entry_list.find_departed(
            ask.entry, ask.boot
        )
        key = ask.entry, ask.boot, ask.number
        if borrower is None or key in self._given:
            return
        lent, left = self.budget.lend(ask.service, ask.amount)
        now_s = clock.elapsed_s()
        for number in [each for each, given in self._given.items() if given.ends_s < now_s]:
            del self._given[number]
        self._given[key] = _GivenLoan(ask.service, lent, now_s + retry_loans.LOAN_S)
        own = self.entry_list.own
        await self._send(retry_loans.Loan(own.entry, own.boot, ask.number, lent, left), borrower)

    def _accept(self, message: retry_loans.Loan) -> None:
        ask = self._asks.pop(message.number, None)
        if ask is None or (ask.lender.entry, ask.lender.boot) != (message.entry, message.boot):
            return
        if message.left < 1:
            until_s = clock.elapsed_s() + EMPTY_S
            self._empty_until_s[ask.service, message.entry] = until_s
        else:
            self._empty_until_s.pop((ask.service, message.entry), None)
        if message.amount:
            self._round_s = ROUND_S
            self.budget.are_lenders_empty = False
            loan = retry_loans.HeldLoan(message.entry, message.number, message.amount, ask.sent_s)
            self.budget.add_loan(ask.service, loan)

    def _take_back(self, message: retry_loans.Return) -> None:
        key = message.entry, message.boot, message.number
        given = self._given.pop(key, None)
        if given is None:
            return
        returned = min(given.amount, message.amount)
        self.budget.take_back(given.service, returned, given.ends_s)
        # A duplicate of the request must not be answered with another loan.
        self._given[key] = attrs.evolve(given, amount=0.0)

    async def _borrow(self) -> None:
        while True:
            await self._return_ended()
            services = self.budget.services_in_need()
            for service in services:
                await self._ask(service)
            self._round_s = min(MAX_ROUND_S, 1.5 * self._round_s) if services else ROUND_S
            self.budget.are_lenders_empty = self._round_s > EMPTY_ROUND_S
            if services:
                await trio.sleep(self._round_s * self.rng.uniform(0.8, 1.2))
            else:
                wait_s = RETURN_INTERVAL_S if self.budget.has_loans() else IDLE_S
                await self.budget.loan_needed.wait(wait_s)

    async def _ask(self, service: str) -> None:
        lenders = self._lenders(service)
        if not lenders:
            return
        needed = self.budget.loan_needed_count(service)
        amount = min(retry_loans.MAX_AMOUNT, max(1.0, ASK_FACTOR * needed / len(lenders)))
        own, now_s = self.entry_list.own, clock.elapsed_s()
        for lender in lenders:
            number = next(self._numbers)
            self._asks[number] = _SentAsk(lender, service, amount, now_s)
            # Unless it answers, which clears this or sets it anew.
            self._empty_until_s[service, lender.entry] = now_s + EMPTY_S
            ask = retry_loans.Ask(own.entry, own.boot, number, amount, service)
            await self._send(ask, lender)

    def _lenders(self, service: str) -> list[entries.Entry]:
        now_s = clock.elapsed_s()
        for number in [each for each, ask in self._asks.items() if ask.sent_s < now_s - 1]:
            del self._asks[number]
        for key in [each for each, until_s in self._empty_until_s.items() if until_s <= now_s]:
            del self._empty_until_s[key]
        usable = [
            entry
            for entry in self.entry_list.others()
            if entry.lending_address and (service, entry.entry) not in self._empty_until_s
        ]
        return self.rng.sample(usable, min(ASKED_AT_ONCE, len(usable)))

    async def _return_ended(self) -> None:
        own = self.entry_list.own
        by_name: collections.abc.Mapping[str, entries.Entry] = {}
        for loan in self.budget.remove_ended_loans():
            by_name = by_name or {entry.entry: entry for entry in self.entry_list.others()}
            if loan.lender in by_name:
                message = retry_loans.Return(own.entry, own.boot, loan.number, loan.amount)
                await self._send(message, by_name[loan.lender])

    async def _send(self, message: retry_loans.Message, receiver: entries.Entry) -> None:
        if receiver.lending_address:
            self.sent_count += 1
            await self.transport.send(retry_loans.encode(message), receiver.lending_address)
