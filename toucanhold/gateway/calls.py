"""A caller's request, what is sent on, and how either may end."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import enum

import attrs

from toucanhold.registry import servers

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class RefusalReason(enum.Enum):
    """Why a request ended without an answer of a backend server."""

    NO_CONFIGURATION = "no configuration is known yet"
    NO_ROUTE = "no route matches"
    UNKNOWN_KEY = "the key belongs to no workspace"
    NO_SERVER = "no backend server serves this now"
    NO_CAPACITY = "no backend server has room in time"
    DEADLINE_EXCEEDED = "the time for the request is over"
    CRASHES_SERVERS = "such a request has crashed backend servers"
    RESPONSE_LOST = "the answer of a backend server was lost"
    BODY_TOO_LARGE = "the body is larger than allowed"


class CallError(Exception):
    """A request gets a final answer of this system's own.

    :ivar may_have_run: whether a backend server may have run it, or may run it yet
    :ivar retry_after_s: when to come back; None for no hint
    """

    def __init__(
        self, reason: RefusalReason, may_have_run: bool = False, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s


class ExchangeError(Exception):
    """A backend server gave no whole answer."""


class NotRunError(ExchangeError):
    """The backend server has not run the request and never will.

    :ivar is_gone: whether another server or none listens at the address
    """

    def __init__(self, detail: str, is_gone: bool = False, at_fault: str = "") -> None:
        super().__init__(detail)
        self.is_gone = is_gone
        self.at_fault = at_fault


class ResponseLostError(ExchangeError):
    """The backend server may have run the request.

    :ivar is_connection_lost: whether the connection broke, as it does when a server crashes
    """

    def __init__(self, detail: str, is_connection_lost: bool = False) -> None:
        super().__init__(detail)
        self.is_connection_lost = is_connection_lost


@attrs.frozen
class Call:
    """One attempt of a caller.

    :ivar call_id: the caller's name for this attempt
    :ivar target: path and query as they came
    :ivar headers: what is passed on unchanged
    :ivar key: the caller's key, or None
    :ivar deadline_s: time of the run's clock at which the caller leaves
    :ivar model: the model asked for; empty for plain services
    :ivar last_event_id: the event after which a stream is to go on; None from its start
    """

    call_id: str
    method: str
    host: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    key: str | None
    arrived_s: float
    deadline_s: float
    model: str = ""
    last_event_id: int | None = None


@attrs.frozen
class ForwardedCall:
    """A call on its way to one backend server.

    :ivar workspace: who holds the caller's key; empty for public routes
    :ivar remaining_s: time that the server may take
    """

    call: Call
    workspace: str
    remaining_s: float
    last_event_id: int | None
    is_stream: bool


@attrs.frozen
class Response:
    """The head of a server's answer; ``chunks`` raises :class:`ResponseLostError`."""

    status: int
    headers: Headers
    chunks: collections.abc.AsyncIterator[bytes]


class ServerClient(abc.ABC):
    """Sends calls to backend servers."""

    @abc.abstractmethod
    def exchange(
        self, server: servers.Server, forwarded: ForwardedCall
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Send a call and give its answer; leaving the context early ends the server's work.

        :raises NotRunError: when the server has not run it
        :raises ResponseLostError: when it may have
        """


class Reply(abc.ABC):
    """Where a caller's answer goes."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, length_bytes: int | None) -> None:
        """Begin the answer.

        :param length_bytes: of a body that is known whole, or None for a stream
        """

    @abc.abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Pass on a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""
