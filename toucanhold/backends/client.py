"""What the system asks of a backend server."""

import abc
import collections.abc
import contextlib
import enum

import attrs

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class BackendError(Exception):
    """A backend server did not answer as asked."""


class NotSentError(BackendError):
    """No byte of the request left: it certainly did not run."""


class ConnectRefusedError(NotSentError):
    """Nothing listens at the address: the process is gone, not merely slow or cut off."""


class AnswerLostError(BackendError):
    """The request was sent at least in part: it may have run."""


class MismatchedAnswerError(AnswerLostError):
    """The answer belongs to another request."""


class OrderRefusedError(BackendError):
    """An engine refused an order, for example for its old fencing number."""


class Warmth(enum.Enum):
    """Whether a backend server bears its full load."""

    COLD = "cold"
    WARM = "warm"


@attrs.frozen
class Report:
    """A backend server's own word, from its load report.

    :ivar boot_id: changes with each start
    :ivar bearable: requests it bears at once while cold; None where it does not say
    :ivar running: requests it runs
    :ivar waiting: requests in its queue
    :ivar slots: requests it runs at once when warm; None where it does not say
    :ivar group: the group it has joined
    :ivar generation: that group's generation
    :ivar leaving: it is about to stop and wants no new work
    :ivar highest_fencing: highest fencing number it has seen
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
    """Load a model and join a group.

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
    """Leave the present group."""

    fencing: int
    order: str = "leave"


Order = JoinOrder | LeaveOrder


@attrs.frozen
class ForwardedRequest:
    """A caller's request on its way to one backend server.

    :ivar request_id: sent as ``x-request-id`` and expected back
    :ivar fresh_connection: never on a connection that was used before
    :ivar timeout_s: longest wait for the connection; the caller bounds the rest
    :ivar boot_id: the only boot that may get it; empty for any
    :ivar warm_only: whether a new connection must first show the boot to be warm
    :ivar guard: asked right before the first and the last byte leave; false stops the request
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


@attrs.frozen
class ForwardedResponse:
    """The head of an answer and the chunks of its body, which raise :class:`BackendError`."""

    status: int
    headers: Headers
    chunks: collections.abc.AsyncIterator[bytes]


class BackendClient(abc.ABC):
    """The calls to backend servers; ``address`` is ``IP:port``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""

    @abc.abstractmethod
    async def read_report(self, address: str, timeout_s: float) -> Report:
        """Return the load report.

        :raises BackendError: when there is none in time
        """

    @abc.abstractmethod
    async def send_order(self, address: str, order: Order, timeout_s: float) -> None:
        """Give an order to an engine.

        :raises OrderRefusedError: when the engine refuses it
        :raises BackendError: when the outcome is not known
        """

    @abc.abstractmethod
    def forward(
        self, address: str, request: ForwardedRequest
    ) -> contextlib.AbstractAsyncContextManager[ForwardedResponse]:
        """Send one request and give its answer; leaving the context early cancels it.

        :raises NotSentError: when it certainly did not run
        :raises AnswerLostError: when it may have run
        """
