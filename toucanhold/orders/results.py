"""How an order ended, and what its caller or a repeat of its key is told."""

import attrs
import trio

from toucanhold.backends import client
from toucanhold.orders import records
from toucanhold.routing import requests

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
REPLAYED_HEADER = (b"toucanhold-replayed", b"true")


@attrs.frozen
class Answered:
    """The order ran, and this is its answer."""

    status: int
    headers: client.Headers
    body: bytes


Result = Answered | requests.RequestError


@attrs.define(eq=False)
class Reply:
    """Where the caller's task waits for the result of the order's task."""

    settled: trio.Event = attrs.field(factory=trio.Event)
    result: Result | None = None

    def settle(self, result: Result) -> None:
        """Give the result, once."""
        if self.result is None:
            self.result = result
            self.settled.set()


def unknown(detail: str) -> requests.RequestError:
    """Return the error for an order that may have run."""
    return requests.RequestError(requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, detail)


def refused(
    problem: requests.Problem,
    detail: str,
    retry_after_s: float | None = None,
    entry_address: str = "",
) -> requests.RequestError:
    """Return the error for a sending that did not run."""
    return requests.RequestError(
        problem, requests.Outcome.DID_NOT_RUN, detail, retry_after_s, entry_address
    )


def in_progress(rest_s: float) -> requests.RequestError:
    """Return the error for a repeat while the order may be running.

    :param rest_s: time until its holder stops waiting for the answer
    """
    return requests.RequestError(
        requests.Problem.IN_PROGRESS,
        requests.Outcome.UNKNOWN,
        "an order with this key was sent and is not answered yet",
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, rest_s)),
    )


def key_reused() -> requests.RequestError:
    """Return the error for another order under a key that is taken."""
    return refused(
        requests.Problem.KEY_REUSED,
        "this order did not run; the key stands for an order with another path or body",
    )


def of_record(
    record: records.ClaimRecord, fingerprint: bytes, boot: str, entry: str, now_s: float
) -> Result:
    """Return what a repeat is told when ``record`` stands.

    :param boot: of the process that asks
    :param entry: the entry that asks
    :param now_s: POSIX time
    """
    if record.fingerprint != fingerprint:
        return key_reused()
    if record.state is records.ClaimState.RAN and record.answer is not None:
        return of_answer(record.answer)
    # A holder of the same name but another boot is gone, and so is what it knew.
    holder_gone = record.entry == entry and record.boot != boot
    rest_s = record.ends_at_s - now_s
    if record.state is records.ClaimState.CLAIMED and rest_s > 0 and not holder_gone:
        return in_progress(rest_s)
    return unknown("the order was sent, or was about to be, and its answer was lost")


def of_answer(answer: records.KeptAnswer) -> Result:
    """Return a kept answer as a repeat gets it."""
    if answer.body is None:
        return requests.RequestError(
            requests.Problem.ANSWER_NOT_KEPT,
            requests.Outcome.RAN,
            f"the order ran with HTTP status {answer.status}; its answer was too large to keep",
        )
    return Answered(answer.status, (*answer.headers, REPLAYED_HEADER), answer.body)


def to_record(claimed: records.ClaimRecord, result: Result) -> records.ClaimRecord | None:
    """Return the record of an order that ended so; None where it did not run."""
    if isinstance(result, Answered):
        answer = records.keep(result.status, result.headers, result.body)
        return attrs.evolve(claimed, state=records.ClaimState.RAN, answer=answer)
    if result.outcome is requests.Outcome.DID_NOT_RUN:
        return None
    return attrs.evolve(claimed, state=records.ClaimState.UNKNOWN)


def as_repeated(result: Result, record: records.ClaimRecord | None) -> Result:
    """Return what a repeat is told of an order that ended so."""
    if record is not None and record.answer is not None:
        return of_answer(record.answer)
    return result
