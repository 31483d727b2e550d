"""Defines calls, their responses, their errors and the interfaces that carry them."""

from __future__ import annotations

import abc
import collections.abc
import contextlib
import enum

import attrs

from toucanhold.registry import servers

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class RefusalReason(enum.Enum):
    """Why a request ended without a response from a backend server."""

    NO_CONFIGURATION = "no configuration is known yet"
    NO_ROUTE = "no route matches"
    UNKNOWN_KEY = "the key belongs to no workspace"
    NO_SERVER = "no backend server serves this now"
    NO_CAPACITY = "no backend server has room in time"
    DEADLINE_EXCEEDED = "the time for the request is over"
    CRASHES_SERVERS = "such a request has crashed backend servers"
    RESPONSE_LOST = "the answer of a backend server was lost"
    BODY_TOO_LARGE = "the body is larger than allowed"
    STOPPING = "this entry stops before the time for the request is over"


class Urgency(enum.Enum):
    """How urgently an engine should admit a call, relative to others that wait there.

    ``RESUMED``: the caller has received a part of the response and notices each further pause.
    ``IN_TIME``: the response can still meet its objective. ``LATE``: it cannot.
    """

    RESUMED = "resumed"
    IN_TIME = "in time"
    LATE = "late"


class Decider(enum.Enum):
    """Who ended an attempt or a response before it was complete."""

    SERVER = "backend server"
    ENTRY = "this entry"
    TUNNEL = "another entry, through which the server was reached"
    DEADLINE = "deadline"
    STOP = "planned stop of this entry"


class CallError(Exception):
    """Raised when a call is refused and no response from a backend server is forwarded.

    :ivar reason: why the call is refused
    :ivar may_have_run: whether a backend server may have run the call or may still run it
    :ivar retry_after_s: delay after which the caller may retry; None for no hint
    :ivar decided_by: who ended the call
    """

    def __init__(
        self,
        reason: RefusalReason,
        may_have_run: bool = False,
        retry_after_s: float | None = None,
        decided_by: Decider = Decider.ENTRY,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s
        self.decided_by = decided_by


class ExchangeError(Exception):
    """Raised when a backend server did not send a complete response."""


class NotRunError(ExchangeError):
    """Raised when a backend server has not run the request and never will.

    :ivar is_gone: whether no server, or a different one, listens at the server's address
    :ivar at_fault: ID of the group member that prevents the head from serving; empty if none was
        named
    :ivar was_sent: whether any of the request was sent; false if no connection was opened
    """

    def __init__(
        self, detail: str, is_gone: bool = False, at_fault: str = "", was_sent: bool = True
    ) -> None:
        super().__init__(detail)
        self.is_gone = is_gone
        self.at_fault = at_fault
        self.was_sent = was_sent


class ResponseLostError(ExchangeError):
    """Raised when a response is lost or unusable and the request may have run.

    :ivar is_connection_lost: whether the connection was lost, as it is when a server crashes
    :ivar decided_by: who ended the response
    """

    def __init__(
        self, detail: str, is_connection_lost: bool = False, decided_by: Decider = Decider.SERVER
    ) -> None:
        super().__init__(detail)
        self.is_connection_lost = is_connection_lost
        self.decided_by = decided_by


@attrs.frozen
class Call:
    """One request from a caller; a caller's retry is another call.

    :ivar call_id: request ID chosen by the caller
    :ivar target: path and query string as received
    :ivar headers: headers to forward unchanged
    :ivar key: the caller's API key; None without one
    :ivar arrived_s: trio clock time at which the request arrived
    :ivar deadline_s: trio clock time at which the caller stops waiting
    :ivar model: requested model; empty for services without models
    :ivar last_event_id: ID of the event after which a stream resumes; None to start it
    :ivar prompt_tokens: number of tokens of the prompt; None if the caller does not say
    :ivar output_tokens: expected number of tokens of the response, which may be far off; None if
        the caller does not say
    :ivar shared_parts: IDs of the parts of the prompt that other requests may share, in order
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
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()


@attrs.frozen
class ForwardedCall:
    """A call as it is sent to one backend server.

    :ivar workspace: name of the workspace that owns the caller's key; empty on public routes
    :ivar remaining_s: time left for the response
    :ivar last_event_id: ID of the event after which a stream resumes; None to start it
    :ivar is_stream: whether the response is a stream of server-sent events
    :ivar on_read: called whenever bytes of the response have arrived; may raise an
        :class:`ExchangeError` to end it
    """

    call: Call
    workspace: str
    remaining_s: float
    last_event_id: int | None
    is_stream: bool
    urgency: Urgency = Urgency.IN_TIME
    on_read: collections.abc.Callable[[], None] = lambda: None


@attrs.frozen
class Response:
    """A backend server's response.

    :ivar status: HTTP status
    :ivar chunks: the body; iterating raises :class:`ResponseLostError` if the connection is lost
    :ivar ends_with_connection: whether nothing else marks the end of the body, so that a body that
        is cut off may look complete
    :ivar length_bytes: length of the body; None where its end is marked otherwise
    """

    status: int
    headers: Headers
    chunks: collections.abc.AsyncIterator[bytes]
    ends_with_connection: bool = False
    length_bytes: int | None = None


class ServerClient(abc.ABC):
    """Sends calls to backend servers."""

    @abc.abstractmethod
    def exchange(
        self, server: servers.Server, forwarded: ForwardedCall
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Send a call and yield the response; leaving the context early cancels it on the server.

        :raises NotRunError: if the server has not run the call
        :raises ResponseLostError: if it may have run the call, but the response is lost
        """


class Reply(abc.ABC):
    """Writes the response to a caller."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers, length_bytes: int | None) -> None:
        """Send the status and the headers.

        :param length_bytes: length of the body; None for a stream
        """

    @abc.abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the response as complete."""
