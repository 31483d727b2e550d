"""Retries that an entry borrows from others, and the messages by which entries lend them.

The lender counts a loan as if its retries were made when the loan ends. A loan is an answer, and
the borrower counts its time from before it asked, so it ends for the borrower before it ends for
the lender, however long either message took.
"""

from __future__ import annotations

import collections
import math

import attrs

from toucanhold import codec

# Time from asking to the end of a loan.
LOAN_S = 1.0
# Borrowed retries begin within this time after asking; the rest is for connecting and sending.
USABLE_S = 0.6
MAX_AMOUNT = 1000.0


class LoanMessageError(Exception):
    """Raised for a datagram that is not a valid message about loans."""


@attrs.frozen
class Message:
    """A message about a loan.

    :ivar entry: name of the sender
    :ivar boot: boot ID of the sender
    :ivar number: number that the borrower gave to its request for the loan
    :ivar amount: number of retries asked for, lent or returned
    """

    entry: str
    boot: str
    number: int
    amount: float

    @property
    def is_valid(self) -> bool:
        """Whether the amount is a number that can be lent."""
        return math.isfinite(self.amount) and 0 <= self.amount <= MAX_AMOUNT


@attrs.frozen
class Ask(Message):
    """Asks for a loan.

    :ivar service: name of the service whose limit is shared
    """

    service: str


@attrs.frozen
class Loan(Message):
    """Lends retries, or none.

    :ivar left: number of retries that the sender could lend in addition
    """

    left: float


@attrs.frozen
class Return(Message):
    """Returns retries that the borrower did not make and no longer will."""


_MESSAGE_TYPES = {"ask": Ask, "loan": Loan, "return": Return}
_TAGS = {kind: tag for tag, kind in _MESSAGE_TYPES.items()}


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    return codec.pack_tagged(_TAGS[type(message)], message)


def decode(data: bytes) -> Message:
    """Return the message that a datagram contains.

    :raises LoanMessageError: if the datagram is not a valid message
    """
    try:
        tag, plain = codec.unpack_tagged(data)
        if tag not in _MESSAGE_TYPES:
            raise LoanMessageError(f"expected one of {sorted(_MESSAGE_TYPES)}, got {tag!r}")
        message = codec.from_plain_tolerant(plain, _MESSAGE_TYPES[tag])
    except codec.CodecError as error:
        raise LoanMessageError(f"the datagram is not a valid message: {error}") from error
    if not message.is_valid:
        raise LoanMessageError(f"expected 0 to {MAX_AMOUNT} retries, got {message.amount}")
    return message


@attrs.define(eq=False)
class HeldLoan:
    """A loan that this entry has received.

    :ivar lender: name of the lender
    :ivar number: see :class:`Message`
    :ivar amount: number of retries that are left of it
    :ivar asked_s: time at which this entry asked for it
    """

    lender: str
    number: int
    amount: float
    asked_s: float

    @property
    def usable_until_s(self) -> float:
        """Time until which its retries may begin."""
        return self.asked_s + USABLE_S

    @property
    def ends_s(self) -> float:
        """Time until which the lender counts its retries as pending."""
        return self.asked_s + LOAN_S


@attrs.define(eq=False)
class LoanStock:
    """The loans of one service that this entry holds, in the order in which they end."""

    _loans: collections.deque[HeldLoan] = attrs.field(factory=collections.deque, init=False)

    def __bool__(self) -> bool:
        """Whether there are loans, also if they are no longer usable."""
        return bool(self._loans)

    def add(self, loan: HeldLoan) -> None:
        """Add a loan."""
        later = []
        while self._loans and self._loans[-1].asked_s > loan.asked_s:
            later.append(self._loans.pop())
        self._loans.append(loan)
        self._loans.extend(reversed(later))

    def amount(self, now_s: float) -> float:
        """Return the number of retries that may begin now."""
        return sum(loan.amount for loan in self._loans if now_s < loan.usable_until_s)

    def take(self, amount: float, now_s: float) -> float | None:
        """Consume ``amount``; return until when it may be used, or None if there is less."""
        usable = [loan for loan in self._loans if loan.amount and now_s < loan.usable_until_s]
        if sum(loan.amount for loan in usable) < amount:
            return None
        missing = amount
        for loan in usable:
            taken = min(missing, loan.amount)
            loan.amount -= taken
            missing -= taken
            if missing <= 0:
                break
        return usable[0].usable_until_s

    def remove_ended(self, now_s: float) -> list[HeldLoan]:
        """Remove the loans that are no longer usable; return those with retries left."""
        ended = []
        while self._loans and self._loans[0].usable_until_s <= now_s:
            loan = self._loans.popleft()
            if loan.amount > 0:
                ended.append(loan)
        return ended
