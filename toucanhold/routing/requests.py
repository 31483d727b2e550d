"""Callers' requests and the typed errors that answer them."""

import enum

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules


class Outcome(enum.Enum):
    """Whether a request ran, as reported to its caller; must never be a guess."""

    DID_NOT_RUN = "did-not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Problem(enum.Enum):
    """Kinds of refusal and failure, each with HTTP status and title; see docs/CALLERS.md.

    :ivar status: HTTP status
    :ivar title: the problem's title in the answer
    """

    MALFORMED = (400, "The request is malformed")
    UNKNOWN_SERVICE = (404, "No such service")
    KEY_REUSED = (422, "The idempotency key was used for another request")
    IN_PROGRESS = (409, "A request with this idempotency key is in progress")
    REFUSED_FOR_GOOD = (422, "This request crashed backend servers and is not run again")
    METHOD_NOT_ALLOWED = (405, "This path does not take the method")
    BODY_TIMEOUT = (408, "The request's body did not arrive in time")
    WRONG_CONTENT_TYPE = (415, "The body's content type is not taken here")
    TOO_LARGE = (413, "The request is too large")
    OVERLOADED = (429, "The workspace's share or the queue is full")
    NO_CAPACITY = (503, "No backend server can take the request now")
    NOT_READY = (503, "This entry cannot take requests now")
    CLAIM_UNAVAILABLE = (503, "The idempotency key could not be claimed")
    DEADLINE = (504, "The request was not finished in time")
    INTERNAL_ERROR = (500, "The entry failed")
    BACKEND_FAILED = (502, "The backend server failed")
    WRONG_ENTRY = (421, "Only the entry that issued this order key runs it")
    ANSWER_NOT_KEPT = (410, "The request ran; its answer was not kept")
    OUTCOME_UNKNOWN = (502, "It is not known whether the request ran")

    def __init__(self, status: int, title: str) -> None:
        self.status = status
        self.title = title

    @property
    def slug(self) -> str:
        """The last segment of the problem's type URI."""
        return self.name.lower().replace("_", "-")


class RequestError(Exception):
    """The final error of a request that no backend server answered.

    :ivar problem: kind of the error
    :ivar outcome: whether the request ran
    :ivar detail: the reason, for the caller
    :ivar retry_after_s: seconds after which the caller may retry; None if a retry cannot help
    :ivar entry_address: address of the entry to send the request to; empty for any
    """

    def __init__(
        self,
        problem: Problem,
        outcome: Outcome,
        detail: str,
        retry_after_s: float | None = None,
        entry_address: str = "",
    ) -> None:
        super().__init__(detail)
        self.problem = problem
        self.outcome = outcome
        self.detail = detail
        self.retry_after_s = retry_after_s
        self.entry_address = entry_address


@attrs.frozen
class CallerRequest:
    """A request as parsed by the callers' interface.

    :ivar path: the path of the request to the backend server
    :ivar deadline_s: monotonic time after which the caller does not need the answer
    :ivar may_repeat: whether the request is idempotent
    :ivar stream: whether the answer is a stream of server-sent events
    :ivar adapter: name of the required adapter; empty for none
    :ivar availability_zone: the caller's zone; empty if unknown
    :ivar prefix: hash from :func:`affinity.prefix_key`; 0 for none
    """

    request_id: str
    workspace: str
    service: rules.Service
    method: str
    path: str
    headers: client.Headers
    body: bytes
    deadline_s: float
    may_repeat: bool
    stream: bool = False
    idempotency_key: str = ""
    adapter: str = ""
    availability_zone: str = ""
    prefix: int = 0
