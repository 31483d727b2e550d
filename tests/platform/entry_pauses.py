"""Callers of entries whose backend servers pause: they keep connections and record answers."""

import collections
import math
import random

import attrs
import httpcore
import trio

from tests.platform import entry_links, standins

DEADLINE_MS = 5000


@attrs.define(eq=False)
class PausingServerApp(standins.ServerApp):
    """Backend server that pauses: it accepts connections, but reads and sends nothing.

    :ivar paused_until_s: trio clock time at which the pause ends
    """

    paused_until_s: float = -math.inf

    async def __call__(self, scope, receive, send):
        async def send_unless_paused(message):
            await trio.sleep_until(self.paused_until_s)
            await send(message)

        await trio.sleep_until(self.paused_until_s)
        await super().__call__(scope, receive, send_unless_paused)


@attrs.define(eq=False)
class Answer:
    """What a caller got for a request.

    :ivar entry: name of the entry that got the request
    :ivar is_whole: whether the answer ended as it should
    :ivar chunk_times_s: trio clock times at which parts of the body arrived
    :ivar error: why the answer has no end
    """

    kind: str
    attempt: str
    entry: str = ""
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    sent_s: float = attrs.field(factory=trio.current_time)
    ended_s: float = 0.0
    chunk_times_s: list = attrs.field(factory=list)
    error: Exception | None = None

    @property
    def longest_gap_s(self):
        """Longest time between two parts of the body."""
        pairs = zip(self.chunk_times_s, self.chunk_times_s[1:], strict=False)
        return max((after_s - before_s for before_s, after_s in pairs), default=0.0)


@attrs.define(eq=False)
class Callers:
    """Callers that keep their connections until an entry closes them.

    :ivar site: the site whose entries they call
    :ivar leaving: names of entries to which no new connection is opened
    :ivar answers: all answers, in the order of the requests
    """

    site: entry_links.Site
    rng: random.Random
    leaving: set = attrs.field(factory=set)
    answers: list = attrs.field(factory=list)
    _idle: collections.deque = attrs.field(factory=collections.deque)

    async def send(self, kind):
        """Send one request and record its answer."""
        answer = Answer(kind, f"{kind}-{len(self.answers)}")
        self.answers.append(answer)
        answer.entry, pool = self._take_connection()
        try:
            await self._exchange(answer, pool)
            answer.is_whole = True
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            answer.error = error
        answer.ended_s = trio.current_time()
        self._idle.append((answer.entry, pool))

    async def close(self):
        """Close all connections."""
        for _, pool in self._idle:
            await pool.aclose()

    def _take_connection(self):
        while self._idle:
            name, pool = self._idle.popleft()
            if any(not each.is_closed() and not each.has_expired() for each in pool.connections):
                return name, pool
        names = [name for name in self.site.entries if name not in self.leaving]
        return self.rng.choice(names), httpcore.AsyncConnectionPool(max_connections=1, retries=0)

    async def _exchange(self, answer, pool):
        method = "GET" if answer.kind == "lookup" else "POST"
        address = self.site.address(answer.entry, "front")
        headers = [
            ("host", entry_links.HOST),
            ("x-attempt-id", answer.attempt),
            ("x-deadline-remaining-ms", str(DEADLINE_MS)),
        ]
        url = f"http://{address}/{answer.kind}/{answer.attempt}"
        async with pool.stream(method, url, headers=headers) as response:
            answer.status = response.status
            async for chunk in response.aiter_stream():
                answer.chunk_times_s.append(trio.current_time())
                answer.body += chunk
