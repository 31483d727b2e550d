"""Simulates processes that can be paused and network links that can be cut."""

import collections.abc
import contextvars
import math

import attrs
import trio

LATENCY_S = 0.001
OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")


def start_as(owner: str, nursery: trio.Nursery, function, *arguments) -> None:
    """Start a task that belongs to the process ``owner``."""
    context = contextvars.copy_context()
    context.run(OWNER.set, owner)
    context.run(nursery.start_soon, function, *arguments)


class Pauser(trio.abc.Instrument):
    """Suspends the tasks of paused processes while the clock advances.

    A runnable task of a paused process is removed from the scheduler's queue and put back on
    resumption. Timers expire and responses arrive in the meantime, and the process sees them all at
    once afterwards, as it does between SIGSTOP and SIGCONT.
    """

    def __init__(self) -> None:
        self._suspended: dict[str, list[trio.lowlevel.Task]] = {}

    def pause(self, owner: str) -> None:
        """Suspend the tasks of a process."""
        if owner in self._suspended:
            return
        self._suspended[owner] = []
        for task in list(_run_queue()):
            self.task_scheduled(task)

    def resume(self, owner: str) -> None:
        """Resume the tasks of a process."""
        for task in self._suspended.pop(owner, ()):
            _run_queue().append(task)

    def is_paused(self, owner: str) -> bool:
        """Return whether a process is paused."""
        return owner in self._suspended

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Remove a runnable task of a paused process from the run queue."""
        suspended = self._suspended.get(task.context.get(OWNER, ""))
        if suspended is not None:
            _run_queue().remove(task)
            suspended.append(task)


def _run_queue() -> collections.abc.MutableSequence[trio.lowlevel.Task]:
    return trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq


class Network:
    """The pairs of processes that cannot reach each other.

    A cut delays all data without loss, and neither side is notified.
    """

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._changed = trio.Event()

    def cut(self, first: str, second: str) -> None:
        """Stop all data between two processes."""
        self._cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Let data pass again, including what was delayed."""
        self._cuts.discard(frozenset((first, second)))
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the link between two processes is cut."""
        return frozenset((first, second)) in self._cuts

    async def wait_connected(self, first: str, second: str) -> None:
        """Wait until data can pass between two processes."""
        while self.is_cut(first, second):
            await self._changed.wait()


class ConnectionCutError(Exception):
    """A connection ended before the response was complete."""


@attrs.define(eq=False, slots=False)
class Connection:
    """One HTTP exchange in memory, with an ASGI application as the server.

    :ivar client: name of the calling process
    :ivar server: name of the process of the application
    :ivar is_complete: whether the application has sent the whole response
    """

    network: Network
    client: str
    server: str
    body: bytes
    is_complete: bool = False
    _client_closed: trio.Event = attrs.field(factory=trio.Event)
    _is_request_delivered: bool = False

    def __attrs_post_init__(self) -> None:
        self._sender, self._receiver = trio.open_memory_channel(math.inf)

    async def serve(self, app, scope: dict) -> None:
        """Run the application; the connection ends when it returns."""
        try:
            await trio.sleep(LATENCY_S)
            await app(scope, self.receive, self.send)
        finally:
            self._sender.close()

    async def receive(self) -> dict:
        """Return the request to the application, then its disconnection (ASGI ``receive``)."""
        if not self._is_request_delivered:
            self._is_request_delivered = True
            return {"type": "http.request", "body": self.body}
        await self._client_closed.wait()
        await self.network.wait_connected(self.client, self.server)
        return {"type": "http.disconnect"}

    async def send(self, message: dict) -> None:
        """Accept a part of the response from the application (ASGI ``send``)."""
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.body" and not message.get("more_body"):
            self.is_complete = True
        self._sender.send_nowait(message)

    def close_client(self) -> None:
        """Close the client side of the connection."""
        self._client_closed.set()

    async def next_message(self) -> dict:
        """Return the next part of the response to the client.

        :raises ConnectionCutError: if the application ended before the response was complete
        """
        try:
            message = await self._receiver.receive()
        except trio.EndOfChannel:
            raise ConnectionCutError(f"{self.server} cut the connection") from None
        await trio.sleep(LATENCY_S)
        await self.network.wait_connected(self.client, self.server)
        return message


def http_scope(method: str, path: str, headers: collections.abc.Iterable) -> dict:
    """Return the ASGI scope of a request."""
    path, _, query = path.partition("?")
    return {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "headers": [(key.lower(), value) for key, value in headers],
    }
