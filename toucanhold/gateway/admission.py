"""Waiting for a backend server with room.

The most urgent go first; among equals those whose answers can still come in time, then the others.
When there is more to do than servers can, a queue by arrival makes every answer late: each waits
for those before it until it is late as well. This way the servers' time goes to answers that are
worth it, and what is late already has what is left over.
"""

from __future__ import annotations

import collections.abc
import contextlib
import itertools

import attrs
import trio

from toucanhold.gateway import calls, targets
from toucanhold.registry import servers
from toucanhold.routes import table

# Room also appears without an event of this entry: others finish, groups form, servers warm up.
LOOK_AGAIN_S = 0.02
# A caller told to come back finds room: groups form again within about a second of a loss.
RETRY_AFTER_S = 0.8
RETRY_SPREAD_S = 0.4


@attrs.define(eq=False, order=False)
class _Waiter:
    service: table.Service
    model: str
    timely_until_s: float
    avoid: collections.abc.Set[str]
    placed: trio.Event = attrs.field(factory=trio.Event)
    server: servers.Server | None = None


@attrs.define(eq=False)
class Admission:
    """Places requests; those that find no room wait by rank, then in their order."""

    targets: targets.ServerSelector
    _queue: list[tuple[int, int, _Waiter]] = attrs.field(factory=list, init=False)
    _filled: trio.Event = attrs.field(factory=trio.Event, init=False)
    _numbers: collections.abc.Iterator[int] = attrs.field(factory=itertools.count, init=False)

    @property
    def queue_length(self) -> int:
        """Requests that wait now."""
        return len(self._queue)

    def has_room(self, service: table.Service, model: str, avoid: collections.abc.Set[str]) -> bool:
        """Tell whether a server other than those to avoid has room now."""
        found = [
            server for server in self.targets.find(service, model) if server.server_id not in avoid
        ]
        return self.targets.choose(service, found, frozenset()) is not None

    @contextlib.asynccontextmanager
    async def place(
        self,
        service: table.Service,
        model: str,
        rank: int,
        patience_s: float,
        timely_until_s: float,
        avoid: collections.abc.Set[str] = frozenset(),
    ) -> collections.abc.AsyncIterator[servers.Server]:
        """Hold room on a server while the context is open.

        :param patience_s: longest wait
        :param timely_until_s: time of the run's clock after which its answer is late
        :raises calls.CallError: when there is no room in time, or cannot be
        """
        server = self._try_at_once(service, model, avoid)
        if server is None:
            server = await self._wait(service, model, rank, patience_s, timely_until_s, avoid)
        try:
            yield server
        finally:
            self.targets.loads.remove(server.server_id)
            self.pump()

    async def run(self) -> None:
        """Look for room at an interval, until cancelled."""
        while True:
            if not self._queue:
                await self._filled.wait()
                self._filled = trio.Event()
            await trio.sleep(LOOK_AGAIN_S)
            self.pump()

    def pump(self) -> None:
        """Give room to those that wait, in their order."""
        now_s = trio.current_time()
        waiting, self._queue = self._queue, []
        # Stable: who came first goes first among equals.
        waiting.sort(key=lambda each: (each[0], each[-1].timely_until_s < now_s, each[1]))
        full: set[tuple[str, str]] = set()
        for entry in waiting:
            waiter = entry[-1]
            kind = waiter.service.name, waiter.model
            server = None
            if kind not in full:
                server = self._choose(waiter.service, waiter.model, waiter.avoid)
            if server is None:
                full.add(kind)
                self._queue.append(entry)
                continue
            waiter.server = server
            waiter.placed.set()

    def _try_at_once(
        self, service: table.Service, model: str, avoid: collections.abc.Set[str]
    ) -> servers.Server | None:
        if any(
            each.service.name == service.name and each.model == model for *_, each in self._queue
        ):
            return None
        return self._choose(service, model, avoid)

    def _choose(
        self, service: table.Service, model: str, avoid: collections.abc.Set[str]
    ) -> servers.Server | None:
        found = self.targets.find(service, model)
        server = self.targets.choose(service, found, avoid)
        if server is not None:
            self.targets.note_placed(server)
        return server

    async def _wait(
        self,
        service: table.Service,
        model: str,
        rank: int,
        patience_s: float,
        timely_until_s: float,
        avoid: collections.abc.Set[str],
    ) -> servers.Server:
        if not self.targets.find(service, model) and not self._may_come(service, model):
            raise self._refusal(calls.RefusalReason.NO_SERVER)
        waiter = _Waiter(service, model, timely_until_s, avoid)
        entry = (rank, next(self._numbers), waiter)
        self._filled.set()
        self._queue.append(entry)
        try:
            with trio.move_on_after(patience_s):
                await waiter.placed.wait()
        except trio.Cancelled:
            if waiter.server is not None:
                self.targets.loads.remove(waiter.server.server_id)
            raise
        finally:
            if entry in self._queue:
                self._queue.remove(entry)
        if waiter.server is None:
            raise self._refusal(calls.RefusalReason.NO_CAPACITY)
        return waiter.server

    def _may_come(self, service: table.Service, model: str) -> bool:
        return service.engine is None or self.targets.may_serve_soon(service, model)

    def _refusal(self, reason: calls.RefusalReason) -> calls.CallError:
        spread_s = self.targets.rng.uniform(0, RETRY_SPREAD_S)
        return calls.CallError(reason, retry_after_s=RETRY_AFTER_S + spread_s)
