"""The interface for calls to backend servers, with its messages and errors."""

import abc
import collections.abc
import contextlib
import enum

import attrs

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class BackendError(Exception):
    """A call to a backend server failed."""


class NotSentError(BackendError):
    """No byte of the request was sent, so it certainly did not run."""


class ConnectRefusedError(NotSentError):
    """The connection was refused: the process has ended and is not merely slow or partitioned."""


class AnswerLostError(BackendError):
    """The request was sent at least in part, so it may have run."""


class MismatchedAnswerError(AnswerLostError):
    """The request id of the answer is that of another request."""


class OrderRefusedError(BackendError):
    """An engine refused an order, for example because of an outdated fencing number."""


class Warmth(enum.Enum):
    """Whether a backend server can take its full load."""

    COLD = "cold"
    WARM = "warm"


@attrs.frozen
class Report:
    """The load report of a backend server.

    :ivar vm: name of its VM
    :ivar boot_id: identifies the start of the process; changes with each start
    :ivar bearable: number of concurrent requests that it can run while cold; None if not reported
    :ivar running: number of requests that it runs
    :ivar waiting: number of requests in its queue
    :ivar slots: number of concurrent requests that it can run when warm; None if not reported
    :ivar group: the group that it has joined; None without a group
    :ivar generation: generation of that group
    :ivar rank: its rank in that group
    :ivar model: the loaded model; None without one
    :ivar version: version of the loaded model
    :ivar adapters: names of the loaded adapters
    :ivar loading: whether it is loading a model
    :ivar leaving: whether it is about to stop and must get no new work
    :ivar highest_fencing: highest fencing number that it has seen
    """

    vm: str
    boot_id: str
    warmth: Warmth = Warmth.COLD
    bearable: int | None = None
    running: int = 0
    waiting: int = 0
    slots: int | None = None
    group: str | None = None
    generation: int = 0
    rank: int = 0
    model: str | None = None
    version: str = ""
    adapters: tuple[str, ...] = ()
    loading: bool = False
    leaving: bool = False
    highest_fencing: int = 0


@attrs.frozen
class JoinOrder:
    """Orders an engine to load a model and join a group.

    :ivar fencing: fencing number; an engine that checks it refuses numbers below the highest seen
    :ivar rank: rank of the engine in the group
    :ivar members: addresses of the group's backend servers, by rank
    """

    group: str
    generation: int
    fencing: int
    rank: int
    members: tuple[str, ...]
    model: str
    version: str
    order: str = "join"


@attrs.frozen
class LeaveOrder:
    """Orders an engine to leave its current group.

    :ivar fencing: fencing number; an engine that checks it refuses numbers below the highest seen
    """

    fencing: int
    order: str = "leave"


Order = JoinOrder | LeaveOrder


@attrs.frozen
class ForwardedRequest:
    """A request to be forwarded to one backend server.

    :ivar path: path with the query string
    :ivar request_id: sent as ``x-request-id`` and expected in the answer
    :ivar timeout_s: longest time for connecting; the user of the client bounds the rest
    :ivar fresh_connection: whether to send it on a new connection only
    :ivar boot_id: the only boot that may receive it; empty for any
    :ivar warm_only: whether the boot must report to be warm when its connection is new
    :ivar guard: called right before the first and the last byte are sent; false aborts the request
    :ivar on_read: called whenever bytes of the answer have arrived; may raise a
        :class:`BackendError` to end it
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    timeout_s: float
    fresh_connection: bool = False
    boot_id: str = ""
    warm_only: bool = False
    guard: collections.abc.Callable[[], bool] | None = None
    on_read: collections.abc.Callable[[], None] = lambda: None


@attrs.frozen
class ForwardedResponse:
    """Status and headers of an answer, and its body.

    :ivar chunks: chunks of the body; iteration raises :class:`BackendError` if it is truncated
    :ivar length_bytes: length of the body; None where its end is marked otherwise
    """

    status: int
    headers: Headers
    chunks: collections.abc.AsyncIterator[bytes]
    length_bytes: int | None = None


class BackendClient(abc.ABC):
    """Calls backend servers; every ``address`` is ``IP:port``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all idle connections."""

    @abc.abstractmethod
    async def read_report(self, address: str, timeout_s: float) -> Report:
        """Return the load report of a backend server.

        :raises BackendError: when no valid report arrives within ``timeout_s``
        """

    @abc.abstractmethod
    async def send_order(self, address: str, order: Order, timeout_s: float) -> None:
        """Send an order to an engine.

        :raises NotSentError: when the order certainly did not run
        :raises OrderRefusedError: when the engine refuses the order
        :raises BackendError: when the outcome is unknown
        """

    @abc.abstractmethod
    def forward(
        self, address: str, request: ForwardedRequest
    ) -> contextlib.AbstractAsyncContextManager[ForwardedResponse]:
        """Send a request and yield its answer; leaving the context early cancels the request.

        :raises NotSentError: when the request certainly did not run
        :raises AnswerLostError: when the request may have run
        """
