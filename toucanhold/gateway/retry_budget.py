"""Limits this entry's retries so that those of all entries stay within each service's limit."""

from __future__ import annotations

import abc
import collections
import collections.abc
import enum
import logging

import attrs
import trio

from toucanhold import clock, events, notifier
from toucanhold.gateway import calls, retry_ledger, retry_loans

# Fraction of the limit that is left to requests whose failed attempt was a trial.
TRIAL_RESERVE_FRACTION = 0.04
# Longest wait for other entries to lend a retry; they answer within some milliseconds.
MAX_LOAN_WAIT_S = 0.08
# Period over which the need for retries is estimated.
DEMAND_PERIOD_S = 0.5
# Retries that are borrowed when streams have stalled that may soon need one.
INQUIRY_DEMAND = 4

LOGGER = logging.getLogger(__name__)


class RetryCause(enum.Enum):
    """Why a request is sent to another server."""

    REFUSED = "refused"
    CONNECTION_LOST = "connection lost"
    ANSWER_LOST = "answer lost"


def retry_cause(error: calls.ExchangeError) -> RetryCause:
    """Return why a request is sent again after an attempt failed."""
    if isinstance(error, calls.NotRunError):
        return RetryCause.REFUSED
    if isinstance(error, calls.ResponseLostError) and error.is_connection_lost:
        return RetryCause.CONNECTION_LOST
    return RetryCause.ANSWER_LOST


@attrs.frozen
class RetryBound:
    """Retries that a service tolerates over all entries.

    :ivar ratio: retries allowed per request
    :ivar slack: retries allowed in addition in each window
    :ivar window_s: length of the window
    """

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class RetryUse:
    """What an entry believes of a service's retries when it decides about one.

    :ivar share: the part of the slack that this entry may use
    :ivar requests: requests of this entry's callers in the window
    :ivar retries: retries of this entry in the window, with those lent to others
    :ivar headroom: how many more it may make without a loan
    :ivar borrowed: how many it may make by loans
    """

    share: float
    requests: float
    retries: float
    headroom: float
    borrowed: float


class LimitShare(abc.ABC):
    """The part of the limits of all entries that is this entry's own."""

    @abc.abstractmethod
    def fraction(self, window_s: float) -> float:
        """Return the part, from 0 to 1; the parts of all entries never exceed 1 together.

        :param window_s: length of the window of the limit. A part that passes to another entry is
            in nobody's use for so long.
        """


@attrs.define(eq=False)
class WholeLimit(LimitShare):
    """The share of an entry that is known to be alone."""

    def fraction(self, window_s: float) -> float:
        """See :class:`LimitShare`."""
        return 1.0


@attrs.define(eq=False)
class Retry:
    """A retry that the budget allowed, until a server has received it or never will.

    :ivar service: name of the service
    :ivar believed: what the entry believed when it was allowed
    :ivar own_amount: the part of it that is not borrowed, from 0 to 1
    :ivar begin_until_s: time until which it must be sent because a part is borrowed; None for any
    """

    retry_budget: RetryBudget
    service: str
    cause: RetryCause
    believed: RetryUse
    own_amount: float = 1.0
    begin_until_s: float | None = None

    @property
    def may_begin(self) -> bool:
        """Whether the retry may still be sent."""
        return self.begin_until_s is None or clock.elapsed_s() < self.begin_until_s

    def log(self, request_id: str, server_id: str, is_sent: bool) -> None:
        """Log that the request is sent by this retry, or that no connection could be opened.

        It is logged before it is sent, so that the retries of a process that is killed are known.
        """
        events.log(
            LOGGER,
            events.Event.RETRY_SENT if is_sent else events.Event.RETRY_NOT_SENT,
            request_id=request_id,
            service=self.service,
            server=server_id,
            cause=self.cause.value,
            borrowed_part=round(1 - self.own_amount, 2),
            share=round(self.believed.share, 4),
            requests=self.believed.requests,
            retries=round(self.believed.retries, 1),
            headroom=round(self.believed.headroom, 1),
            borrowed=round(self.believed.borrowed, 1),
        )

    def settle(self) -> None:
        """Record that a server has received the request by this retry, or may have."""
        self.retry_budget.settle(self)

    def cancel(self) -> None:
        """Record that no server receives the request by this retry."""
        self.retry_budget.cancel(self)


@attrs.define(eq=False)
class _ServiceState:
    """What one service's retries need and may use.

    :ivar wanted_s: times at which retries were wanted lately
    :ivar waiting: number of requests that wait for a loan
    :ivar inquired_s: time at which none was left for a request that may fail soon
    """

    ledger: retry_ledger.RetryLedger
    loans: retry_loans.LoanStock = attrs.field(factory=retry_loans.LoanStock)
    wanted_s: collections.deque[float] = attrs.field(factory=collections.deque)
    waiting: int = 0
    inquired_s: float = float("-inf")

    def demand(self, now_s: float) -> int:
        """Return the number of retries that are needed within ``DEMAND_PERIOD_S``."""
        while self.wanted_s and self.wanted_s[0] < now_s - DEMAND_PERIOD_S:
            self.wanted_s.popleft()
        is_inquired = now_s < self.inquired_s + DEMAND_PERIOD_S
        return max(len(self.wanted_s), INQUIRY_DEMAND if is_inquired else 0)


@attrs.define(eq=False)
class RetryBudget:
    """Limits retries to this entry's part of each service's limit, and to what others lend.

    :ivar bound: limit of each service
    :ivar limit_share: the part of the slack that is this entry's
    :ivar has_lenders: whether there may be entries that lend retries
    :ivar are_lenders_empty: whether the entries asked last lent nothing
    :ivar loan_needed: notified when :meth:`services_in_need` may have changed
    :ivar sent_counts: number of retries that were sent, by service and cause
    :ivar borrowed_counts: number of borrowed retries that were used, by service
    """

    bound: RetryBound
    limit_share: LimitShare = attrs.field(factory=WholeLimit)
    has_lenders: bool = False
    are_lenders_empty: bool = False
    loan_needed: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    sent_counts: collections.Counter[tuple[str, RetryCause]] = attrs.field(
        factory=collections.Counter, init=False
    )
    borrowed_counts: collections.defaultdict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(float), init=False
    )
    _services: dict[str, _ServiceState] = attrs.field(factory=dict, init=False)
    _loan_received: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)

    def record_request(self, service: str) -> None:
        """Count a request from a caller."""
        self._state(service).ledger.record_request(clock.elapsed_s())

    async def acquire(
        self, service: str, cause: RetryCause, is_trial: bool = False
    ) -> Retry | None:
        """Consume one retry, or return None if none is left here and nobody lends one in time.

        :param is_trial: see :meth:`try_acquire`
        """
        retry = self.try_acquire(service, cause, is_trial)
        if retry is not None or not self.has_lenders or self.are_lenders_empty:
            return retry
        state = self._state(service)
        state.waiting += 1
        try:
            with trio.move_on_after(MAX_LOAN_WAIT_S):
                while retry is None:
                    self.loan_needed.notify_all()
                    await self._loan_received.wait(MAX_LOAN_WAIT_S)
                    retry = self._take(service, cause, is_trial)
        finally:
            state.waiting -= 1
        return retry

    def try_acquire(
        self, service: str, cause: RetryCause = RetryCause.ANSWER_LOST, is_trial: bool = False
    ) -> Retry | None:
        """Consume one retry, or return None if none is left.

        :param is_trial: whether the failed attempt was a trial at a suspended server. Its request
            served all callers, so it may also use a part that is reserved for such requests.
        """
        state = self._state(service)
        state.wanted_s.append(clock.elapsed_s())
        retry = self._take(service, cause, is_trial)
        if self.loan_needed_count(service) and self.has_lenders:
            self.loan_needed.notify_all()
        return retry

    def has_remaining(self, service: str) -> bool:
        """Return whether a retry is left, without consuming it."""
        state, now_s = self._state(service), clock.elapsed_s()
        if max(0.0, self._headroom(state, now_s)) + state.loans.amount(now_s) >= 1:
            return True
        state.inquired_s = now_s
        self.loan_needed.notify_all()
        return False

    def settle(self, retry: Retry) -> None:
        """Count a retry that a server has received by now, or never will."""
        self.sent_counts[retry.service, retry.cause] += 1
        self.borrowed_counts[retry.service] += 1 - retry.own_amount
        ledger = self._state(retry.service).ledger
        ledger.settle_pending(retry.own_amount, clock.elapsed_s())

    def cancel(self, retry: Retry) -> None:
        """Return a retry that no server receives."""
        self._state(retry.service).ledger.cancel_pending(retry.own_amount)

    def loan_needed_count(self, service: str) -> float:
        """Return how many more retries this entry is about to need than it has."""
        state, now_s = self._state(service), clock.elapsed_s()
        available = max(0.0, self._headroom(state, now_s)) + state.loans.amount(now_s)
        return max(0.0, state.demand(now_s) + state.waiting - available)

    def services_in_need(self) -> list[str]:
        """Return the services for which retries are to be borrowed."""
        return [service for service in self._services if self.loan_needed_count(service) > 0]

    def add_loan(self, service: str, loan: retry_loans.HeldLoan) -> None:
        """Add retries that another entry lends."""
        self._state(service).loans.add(loan)
        self._loan_received.notify_all()

    def has_loans(self) -> bool:
        """Return whether this entry holds a loan, also one that is no longer usable."""
        return any(state.loans for state in self._services.values())

    def remove_ended_loans(self) -> list[retry_loans.HeldLoan]:
        """Remove the loans that are no longer usable; return those with retries left."""
        now_s = clock.elapsed_s()
        return [
            loan for state in self._services.values() for loan in state.loans.remove_ended(now_s)
        ]

    def lend(self, service: str, amount: float) -> tuple[float, float]:
        """Lend up to ``amount`` retries for ``retry_loans.LOAN_S``.

        :return: number of retries lent, and how many more could be lent
        """
        state, now_s = self._state(service), clock.elapsed_s()
        # This entry keeps what it is about to need itself.
        lendable = self._headroom(state, now_s, retry_loans.LOAN_S) - state.demand(now_s)
        lent = max(0.0, min(amount, lendable))
        if lent:
            state.ledger.lend(lent, now_s + retry_loans.LOAN_S)
        return lent, max(0.0, lendable - lent)

    def take_back(self, service: str, amount: float, ends_s: float) -> None:
        """Discard lent retries that the borrower returns.

        :param ends_s: end of the loan on the clock of :func:`clock.elapsed_s`
        """
        self._state(service).ledger.take_back(amount, ends_s)

    def use(self, service: str, is_trial: bool = False) -> RetryUse:
        """Return what this entry believes of the retries of a service.

        :param is_trial: see :meth:`try_acquire`
        """
        state, now_s = self._state(service), clock.elapsed_s()
        return RetryUse(
            self.limit_share.fraction(self.bound.window_s),
            state.ledger.requests(now_s),
            state.ledger.retries(now_s),
            self._headroom(state, now_s, is_trial=is_trial),
            state.loans.amount(now_s),
        )

    def _take(self, service: str, cause: RetryCause, is_trial: bool) -> Retry | None:
        state, now_s = self._state(service), clock.elapsed_s()
        believed = self.use(service, is_trial)
        own_amount = min(1.0, max(0.0, believed.headroom))
        begin_until_s = None
        if own_amount < 1:
            begin_until_s = state.loans.take(1 - own_amount, now_s)
            if begin_until_s is None:
                return None
        state.ledger.add_pending(own_amount)
        return Retry(self, service, cause, believed, own_amount, begin_until_s)

    def _headroom(
        self, state: _ServiceState, now_s: float, ahead_s: float = 0.0, is_trial: bool = False
    ) -> float:
        fraction = 1.0 if is_trial else 1 - TRIAL_RESERVE_FRACTION
        slack = self.bound.slack * self.limit_share.fraction(self.bound.window_s)
        allowance = retry_ledger.Allowance(fraction * self.bound.ratio, fraction * slack)
        return state.ledger.headroom(now_s, allowance, ahead_s)

    def _state(self, service: str) -> _ServiceState:
        if service not in self._services:
            ledger = retry_ledger.RetryLedger(self.bound.window_s)
            self._services[service] = _ServiceState(ledger)
        return self._services[service]
