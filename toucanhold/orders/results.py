"""Defines the results of orders and the results that repeats of an order get."""

import attrs
import trio

from toucanhold.backends import client
from toucanhold.orders import records
from toucanhold.routing import requests

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
REPLAYED_HEADER = (b"toucanhold-replayed", b"true")


@attrs.frozen
class BufferedAnswer:
    """The complete answer of an order that ran.

    :ivar status: HTTP status
    """

    status: int
    headers: client.Headers
    body: bytes


Result = BufferedAnswer | requests.RequestError


@attrs.define(eq=False)
class ResultFuture:
    """Passes the result of an order's task to the caller's task.

    :ivar done: set once there is a result
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    result: Result | None = None

    def set_result(self, result: Result) -> None:
        """Set the result; only the first call has an effect."""
        if self.result is None:
            self.result = result
            self.done.set()


def outcome_unknown(detail: str) -> requests.RequestError:
    """Return the error for an order that may have run."""
    return requests.RequestError(requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, detail)


def refusal(
    problem: requests.Problem,
    detail: str,
    retry_after_s: float | None = None,
    entry_address: str = "",
) -> requests.RequestError:
    """Return the error for a request that did not run.

    :param retry_after_s: time after which a repeat may succeed
    :param entry_address: ``IP:port`` of the entry that accepts the order, where known
    """
    return requests.RequestError(
        problem, requests.Outcome.DID_NOT_RUN, detail, retry_after_s, entry_address
    )


def in_progress(remaining_s: float) -> requests.RequestError:
    """Return the error for a repeat while the order may be running.

    :param remaining_s: time until the claim's holder stops waiting for the answer
    """
    return requests.RequestError(
        requests.Problem.IN_PROGRESS,
        requests.Outcome.UNKNOWN,
        "an order with this key was sent and has not been answered yet",
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, remaining_s)),
    )


def key_reused() -> requests.RequestError:
    """Return the error for an order under a key that another order has used."""
    return refusal(
        requests.Problem.KEY_REUSED,
        "this order did not run; its key was used for an order with another method, path or body",
    )


def from_record(
    record: records.ClaimRecord, fingerprint: bytes, boot: str, entry: str, now_s: float
) -> Result:
    """Return the result for a repeat of the order that ``record`` describes.

    :param fingerprint: fingerprint of the repeat
    :param boot: boot of this process
    :param entry: name of this entry
    :param now_s: current POSIX time
    """
    if record.fingerprint != fingerprint:
        return key_reused()
    if record.state is records.ClaimState.RAN and record.answer is not None:
        return replay_answer(record.answer)
    # An earlier process of this entry no longer exists, and its unstored outcomes are lost.
    is_holder_gone = record.entry == entry and record.boot != boot
    remaining_s = record.ends_at_s - now_s
    if record.state is records.ClaimState.CLAIMED and remaining_s > 0 and not is_holder_gone:
        return in_progress(remaining_s)
    return outcome_unknown("the order may have been sent, and its answer was lost")


def replay_answer(answer: records.KeptAnswer) -> Result:
    """Return the result for a repeat of an order with a stored answer."""
    if answer.body is None:
        return requests.RequestError(
            requests.Problem.ANSWER_NOT_KEPT,
            requests.Outcome.RAN,
            f"the order ran with HTTP status {answer.status}; its answer was too large to store",
        )
    return BufferedAnswer(answer.status, (*answer.headers, REPLAYED_HEADER), answer.body)


def to_record(claim: records.ClaimRecord, result: Result) -> records.ClaimRecord | None:
    """Return ``claim`` with the outcome of ``result``, or None if the order did not run."""
    if isinstance(result, BufferedAnswer):
        answer = records.keep_answer(result.status, result.headers, result.body)
        return attrs.evolve(claim, state=records.ClaimState.RAN, answer=answer)
    if result.outcome is requests.Outcome.DID_NOT_RUN:
        return None
    return attrs.evolve(claim, state=records.ClaimState.UNKNOWN)


def replay_result(result: Result, record: records.ClaimRecord | None) -> Result:
    """Return the result for repeats of an order with ``result``, stored as ``record``."""
    if record is not None and record.answer is not None:
        return replay_answer(record.answer)
    return result
