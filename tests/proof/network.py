"""Processes that can be paused, and connections between them that can be cut."""

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
    """Holds back the tasks of paused processes while the clock goes on.

    A woken task of a paused process is taken out of the scheduler's queue and put back at the
    resumption: so timers expire and answers arrive meanwhile, and all is seen at once afterwards,
    as after SIGSTOP and SIGCONT.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[trio.lowlevel.Task]] = {}

    def pause(self, owner: str) -> None:
        """Stop a process's tasks."""
        if owner in self._held:
            return
        self._held[owner] = []
        for task in list(_run_queue()):
            self.task_scheduled(task)

    def resume(self, owner: str) -> None:
        """Let them go on."""
        for task in self._held.pop(owner, ()):
            _run_queue().append(task)

    def is_paused(self, owner: str) -> bool:
        """Tell whether a process is paused."""
        return owner in self._held

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Take a woken task of a paused process aside."""
        held = self._held.get(task.context.get(OWNER, ""))
        if held is not None:
            _run_queue().remove(task)
            held.append(task)


def _run_queue() -> collections.abc.MutableSequence[trio.lowlevel.Task]:
    return trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq


class Network:
    """Which pairs of processes can reach each other; a cut loses nothing and tells nobody."""

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._changed = trio.Event()

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two processes."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Let everything pass again, also what was held up."""
        self._cuts.discard(frozenset((one, other)))
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two processes are separated."""
        return frozenset((one, other)) in self._cuts

    async def wait_open(self, one: str, other: str) -> None:
        """Return when something can pass."""
        while self.is_cut(one, other):
            await self._changed.wait()


class ConnectionCutError(Exception):
    """A connection ended before its answer."""


@attrs.define(eq=False, slots=False)
class Connection:
    """One HTTP exchange over memory, with an ASGI application at its server's end."""

    network: Network
    client: str
    server: str
    body: bytes
    complete: bool = False
    _gone: trio.Event = attrs.field(factory=trio.Event)
    _asked: bool = False

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
        """Give the application the request, later the client's departure."""
        if not self._asked:
            self._asked = True
            return {"type": "http.request", "body": self.body}
        await self._gone.wait()
        await self.network.wait_open(self.client, self.server)
        return {"type": "http.disconnect"}

    async def send(self, message: dict) -> None:
        """Take a part of the answer from the application."""
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.body" and not message.get("more_body"):
            self.complete = True
        self._sender.send_nowait(message)

    def leave(self) -> None:
        """Close the client's end."""
        self._gone.set()

    async def next_message(self) -> dict:
        """Give the client the next part of the answer.

        :raises ConnectionCutError: when the application ended without a whole answer
        """
        try:
            message = await self._receiver.receive()
        except trio.EndOfChannel:
            raise ConnectionCutError(f"{self.server} cut the connection") from None
        await trio.sleep(LATENCY_S)
        await self.network.wait_open(self.client, self.server)
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
