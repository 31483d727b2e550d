"""Tests of retries that entries lend each other."""

import random
import unittest
import unittest.mock

import attrs
import trio

from standins import gateways, lending
from tests import clocked
from toucanhold import clock
from toucanhold.gateway import retry_budget, retry_lending, retry_loans

SERVICE = "desk"
CAUSE = retry_budget.RetryCause.ANSWER_LOST
BOUND = retry_budget.RetryBound(ratio=0.0, slack=100.0, window_s=10.0)
USABLE = 0.96


class Pair:
    """A borrower without a share of the limit, and a lender with all of it."""

    def __init__(self):
        self.network = lending.LoanNetwork(random.Random(1))
        own = [
            attrs.evolve(gateways.new_entry(name), lending_address=name)
            for name in ("borrower", "lender")
        ]
        self.borrower, self.lender = [
            self._new_lending(entry, other, share)
            for entry, other, share in ((own[0], own[1], 0.0), (own[1], own[0], 1.0))
        ]

    def _new_lending(self, own, other, share):
        budget = retry_budget.RetryBudget(BOUND, gateways.FixedLimitShare(share))
        entry_list = gateways.FixedEntryList(own, [other])
        transport = self.network.transport(own.entry)
        return retry_lending.RetryLending(entry_list, budget, transport, random.Random(2))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run both until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.borrower.run)
            nursery.start_soon(self.lender.run)
            task_status.started()

    async def borrow(self):
        """Return a retry of the borrower, or None."""
        return await self.borrower.budget.acquire(SERVICE, CAUSE)

    def headroom(self):
        """Return how many retries the lender may make itself."""
        return self.lender.budget.use(SERVICE).headroom


def on_pair(function):
    async def run(self):
        pair = Pair()
        async with trio.open_nursery() as nursery:
            await nursery.start(pair.run)
            await function(self, pair)
            nursery.cancel_scope.cancel()

    run.__name__, run.__doc__ = function.__name__, function.__doc__
    return clocked.on_test_clock(run)


class LendingTest(unittest.TestCase):
    @on_pair
    async def test_an_entry_without_a_share_borrows_a_retry_at_once(self, pair):
        """Guards against requests that fail at one entry while the limit is hardly used."""
        started_s = trio.current_time()
        retry = await pair.borrow()
        self.assertIsNotNone(retry)
        self.assertLess(trio.current_time() - started_s, retry_budget.MAX_LOAN_WAIT_S)
        self.assertLessEqual(pair.headroom(), USABLE * BOUND.slack - 1)

    @on_pair
    async def test_borrowed_and_lent_retries_never_exceed_the_limit(self, pair):
        """Guards against retries that the lender makes itself after it has lent them."""
        pair.network.loss = 0.3
        granted = 0
        while trio.current_time() < 0.8 * BOUND.window_s:
            for budget in (pair.borrower.budget, pair.lender.budget):
                retry = await budget.acquire(SERVICE, CAUSE)
                if retry is not None:
                    retry.settle()
                    granted += 1
            await trio.sleep(0.01)
        self.assertGreater(granted, 0.5 * BOUND.slack)
        self.assertLessEqual(granted, BOUND.slack)

    @on_pair
    async def test_requests_do_not_wait_while_nobody_has_retries_left(self, pair):
        """Guards against final answers that are held back for loans that nobody gives."""
        pair.lender.budget.limit_share = gateways.FixedLimitShare(0.0)
        with trio.move_on_after(2.0):
            while True:
                await pair.borrow()
                await trio.sleep(0.01)
        started_s = trio.current_time()
        self.assertIsNone(await pair.borrow())
        self.assertEqual(started_s, trio.current_time())

    @on_pair
    async def test_unused_retries_are_returned(self, pair):
        """Guards against loans that nobody uses and that the lender counts for a window."""
        retry = await pair.borrow()
        retry.settle()
        self.assertLess(pair.headroom(), USABLE * BOUND.slack - 1)
        await trio.sleep(retry_loans.LOAN_S)
        self.assertAlmostEqual(USABLE * BOUND.slack - 1, pair.headroom())

    @on_pair
    async def test_a_loan_ends_for_the_borrower_before_it_ends_for_the_lender(self, pair):
        """Guards against a borrowed retry that is sent after the lender has made it itself."""
        pair.network.delay_s = 0.3
        with trio.move_on_after(0.2):
            await pair.borrow()
        await trio.sleep(0.5)
        retry = pair.borrower.budget.try_acquire(SERVICE)
        given = next(iter(pair.lender._given.values()))
        if retry is not None:
            self.assertLess(retry.begin_until_s, given.ends_s)
        await trio.sleep(retry_loans.USABLE_S)
        self.assertTrue(retry is None or not retry.may_begin)

    @on_pair
    async def test_a_borrower_that_stood_still_does_not_use_its_loans(self, pair):
        """Guards against loans that outlast the suspension of the VM."""
        retry = await pair.borrow()
        now = clock.now()
        suspended = clock.Instant(now.monotonic_s, now.suspended_s + 5.0)
        with unittest.mock.patch.object(clock, "now", lambda: suspended):
            self.assertFalse(retry.may_begin)
            self.assertIsNone(pair.borrower.budget.try_acquire(SERVICE))

    @on_pair
    async def test_a_duplicate_of_a_message_changes_nothing(self, pair):
        """Guards against a datagram that arrives twice and lends or returns twice."""
        pair.lender.transport.send = unittest.mock.AsyncMock()
        own = pair.borrower.entry_list.own
        ask = retry_loans.Ask(own.entry, own.boot, 7, 10.0, SERVICE)
        returned = retry_loans.Return(own.entry, own.boot, 7, 4.0)
        for message, lent in (
            (ask, 10.0),
            (ask, 10.0),
            (returned, 6.0),
            (returned, 6.0),
            (ask, 6.0),
        ):
            await pair.lender._handle(message)
            self.assertAlmostEqual(USABLE * BOUND.slack - lent, pair.headroom())

    @on_pair
    async def test_a_stranger_gets_no_loan(self, pair):
        """Guards against a process that is not in the list and drains the limit."""
        await pair.lender._handle(retry_loans.Ask("stranger", "b1", 1, 10.0, SERVICE))
        self.assertAlmostEqual(USABLE * BOUND.slack, pair.headroom())


class MessageTest(unittest.TestCase):
    def test_messages_survive_encoding(self):
        for message in (
            retry_loans.Ask("e", "b", 1, 2.5, SERVICE),
            retry_loans.Loan("e", "b", 1, 0.5, 3.0),
            retry_loans.Return("e", "b", 1, 0.0),
        ):
            self.assertEqual(message, retry_loans.decode(retry_loans.encode(message)))

    def test_invalid_messages_are_refused(self):
        """Guards against a datagram that stops an entry, or lends what is no number."""
        valid = retry_loans.Ask("e", "b", 1, 2.5, SERVICE)
        for amount in (-1.0, float("nan"), float("inf"), 10 * retry_loans.MAX_AMOUNT):
            data = retry_loans.encode(attrs.evolve(valid, amount=amount))
            with self.assertRaises(retry_loans.LoanMessageError):
                retry_loans.decode(data)
        for data in (b"", b"\xff", retry_loans.encode(valid)[:-3], b"\x92\xa3ask\x90"):
            with self.assertRaises(retry_loans.LoanMessageError):
                retry_loans.decode(data)
