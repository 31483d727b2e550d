"""Tracks for how long the requests of each workspace hold slots."""

from __future__ import annotations

import hashlib
import itertools
import math

import attrs
import trio

from toucanhold.gateway import queueing

DECAY_S = 2.0
# Charge for a running request until the first one of its model has ended.
INITIAL_CHARGE_S = 1.0
MIN_CHARGE_S = 0.001
# Weight of the newest request in the mean time for which slots are held.
CHARGE_GAIN = 0.05
# Logarithm of a ratio: use of workspaces within it counts as equal, so that arrival order decides.
LOG_STEP_RATIO = math.log(1.5)
# Differences of fewer requests than this are chance, not use.
NOISE_REQUESTS = 2.0
# Entries report use for this time after a request has waited.
CONTENTION_S = 2.0
# A light workspace shares its cells of both rows with a given heavy one in 1 of 1024 cases.
ROWS = 2
CELLS_PER_ROW = 32
FORGOTTEN_USE_S = 0.001

PREFIX = "use/"


@attrs.define(eq=False)
class Flow:
    """Requests of one workspace for one service and model.

    :ivar cells: keys of the counts that include its use
    :ivar running: number of requests that hold slots
    :ivar waiting: queued requests in order of arrival, with their arrival numbers
    :ivar order_keys: cached keys of the queued requests
    :ivar use_s: use at all entries when the keys were cached
    :ivar next_uses_s: use that counts for the next request to queue, by rank
    """

    workspace: str
    cells: tuple[str, ...]
    running: int = 0
    waiting: dict[queueing.PlacementRequest, int] = attrs.field(factory=dict)
    order_keys: dict[queueing.PlacementRequest, float] = attrs.field(factory=dict)
    use_s: float = 0.0
    next_uses_s: dict[tuple[int, bool], float] = attrs.field(factory=dict)
    order_keys_until_s: float = -math.inf
    _used_s: float = 0.0
    _updated_s: float = attrs.field(factory=trio.current_time)

    def used_s(self, now_s: float) -> float:
        """Return the time for which slots have been held, decayed."""
        decay = math.exp((self._updated_s - now_s) / DECAY_S)
        return self._used_s * decay + self.running * DECAY_S * (1 - decay)

    def add_running(self, change: int) -> None:
        """Change the number of requests that hold slots."""
        now_s = trio.current_time()
        self._used_s, self._updated_s = self.used_s(now_s), now_s
        self.running += change
        self.order_keys_until_s = -math.inf

    def has_older(self, request: queueing.PlacementRequest, number: int, now_s: float) -> bool:
        """Return whether a request that arrived earlier and is as urgent and as late waits."""
        older = itertools.takewhile(lambda item: item[1] < number, self.waiting.items())
        own_rank = rank(request, now_s)
        return any(rank(waiting, now_s) == own_rank for waiting, _ in older)


@attrs.define(eq=False)
class SlotPool:
    """The slots of one service and model, for which workspaces compete.

    :ivar flows: by workspace
    :ivar charge_s: charge for a request that is running now, in addition to the time since its
        start: the mean time for which a slot is held, within ``MIN_CHARGE_S`` and ``DECAY_S``
    """

    service: str
    model: str
    flows: dict[str, Flow] = attrs.field(factory=dict)
    charge_s: float = INITIAL_CHARGE_S
    has_ended: bool = False
    contended_until_s: float = -math.inf
    logged_s: float = -math.inf

    @property
    def mark(self) -> str:
        """Key of the number of entries at which requests wait."""
        return PREFIX + _digest(f"{self.service}\0{self.model}").hex()

    def flow(self, workspace: str) -> Flow:
        """Return a workspace's flow; creates it if needed."""
        flow = self.flows.get(workspace)
        if flow is None:
            cells = _cells(f"{self.service}\0{self.model}\0{workspace}")
            flow = self.flows[workspace] = Flow(workspace, cells)
        return flow

    def own_use_s(self, flow: Flow, now_s: float) -> float:
        """Return a workspace's use at this entry."""
        return flow.used_s(now_s) + flow.running * self.charge_s

    def step(self, use_s: float) -> int:
        """Return the order key for a use."""
        return int(math.log(1 + use_s / (NOISE_REQUESTS * self.charge_s)) / LOG_STEP_RATIO)

    def record_hold(self, hold_s: float) -> None:
        """Process the time for which an ended request held its slot."""
        hold_s = min(max(hold_s, MIN_CHARGE_S), DECAY_S)
        gain = CHARGE_GAIN if self.has_ended else 1.0
        self.has_ended = True
        self.charge_s += gain * (hold_s - self.charge_s)

    def update_contention(self, now_s: float) -> bool:
        """Return whether requests have recently waited here; forgets idle workspaces."""
        for workspace, flow in list(self.flows.items()):
            if flow.waiting:
                self.contended_until_s = now_s + CONTENTION_S
            elif not flow.running and flow.used_s(now_s) < FORGOTTEN_USE_S:
                del self.flows[workspace]
        return now_s < self.contended_until_s


def rank(request: queueing.PlacementRequest, now_s: float) -> tuple[int, bool]:
    """Return what orders requests before the use of their workspaces does."""
    return request.priority, request.is_late(now_s)


def is_cell(key: str) -> bool:
    """Return whether the count with this key is a cell of the use of workspaces."""
    return key.startswith(PREFIX) and "." in key


def _cells(name: str) -> tuple[str, ...]:
    """Return one cell per row; entries of all versions must assign equal names to equal cells."""
    digest = _digest(name)
    return tuple(f"{PREFIX}{row}.{digest[row] % CELLS_PER_ROW}" for row in range(ROWS))


def _digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=4).digest()
