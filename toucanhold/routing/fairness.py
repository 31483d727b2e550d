"""Weighted start-time fair queueing among workspaces."""

import collections
import heapq
import typing

import attrs

MAX_IDLE_WORKSPACES = 1024

Item = typing.TypeVar("Item")


@attrs.define(eq=False)
class _WorkspaceQueue(typing.Generic[Item]):
    """The queued items of one workspace.

    :ivar start_tag: virtual time at which its next item may start
    :ivar is_ready: whether the workspace is in the heap
    """

    name: str
    weight: float = 1.0
    start_tag: float = 0.0
    is_ready: bool = False
    items: collections.deque[Item] = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class FairOrder(typing.Generic[Item]):
    """A queue of items per workspace; push and pop take O(log n) in the number of workspaces."""

    _workspaces: dict[str, _WorkspaceQueue[Item]] = attrs.field(factory=dict)
    _heap: list[tuple[float, int, _WorkspaceQueue[Item]]] = attrs.field(factory=list)
    _virtual_time: float = 0.0
    _sequence: int = 0
    _count: int = 0

    def __len__(self) -> int:
        """Return the number of queued items."""
        return self._count

    def waiting(self, workspace: str) -> int:
        """Return the number of queued items of one workspace."""
        queue = self._workspaces.get(workspace)
        return len(queue.items) if queue else 0

    def charge(self, workspace: str, weight: float) -> None:
        """Charge a workspace for an item that started without being queued."""
        queue = self._get_or_create(workspace, weight)
        start = max(queue.start_tag, self._virtual_time)
        self._virtual_time = start
        queue.start_tag = start + 1 / weight

    def push(self, workspace: str, weight: float, item: Item) -> None:
        """Append an item to a workspace's queue."""
        queue = self._get_or_create(workspace, weight)
        if not queue.items:
            # An idle workspace earns no credit: after a pause it would otherwise block all others
            # until it had caught up.
            queue.start_tag = max(queue.start_tag, self._virtual_time)
        queue.items.append(item)
        self._count += 1
        self._enqueue_ready(queue)

    def pop(self) -> tuple[str, Item] | None:
        """Return the next item in fair order with its workspace; None if no workspace is ready.

        The workspace is not considered again before :meth:`mark_ready`.
        """
        while self._heap:
            _, _, queue = heapq.heappop(self._heap)
            queue.is_ready = False
            if not queue.items:
                continue
            item = queue.items.popleft()
            self._count -= 1
            self._virtual_time = max(self._virtual_time, queue.start_tag)
            queue.start_tag = self._virtual_time + 1 / queue.weight
            return queue.name, item
        return None

    def push_front(self, workspace: str, item: Item) -> None:
        """Put an item that could not start back at the front and refund its charge."""
        queue = self._workspaces[workspace]
        queue.start_tag -= 1 / queue.weight
        queue.items.appendleft(item)
        self._count += 1

    def mark_ready(self, workspace: str) -> None:
        """Consider a workspace again."""
        queue = self._workspaces.get(workspace)
        if queue is not None:
            self._enqueue_ready(queue)

    def remove(self, workspace: str, item: Item) -> None:
        """Remove a queued item."""
        queue = self._workspaces[workspace]
        queue.items.remove(item)
        self._count -= 1

    def most_backlogged(self) -> str:
        """Return the workspace with the most queued items relative to its weight."""
        return max(
            self._workspaces.values(), key=lambda queue: len(queue.items) / queue.weight
        ).name

    def newest(self, workspace: str) -> Item:
        """Return the item of a workspace that was queued last."""
        return self._workspaces[workspace].items[-1]

    def backlogged_weight(self, workspace: str, weight: float) -> float:
        """Return the total weight of ``workspace`` and all workspaces with queued items."""
        others = (each for each in self._workspaces.values() if each.name != workspace)
        return weight + sum(queue.weight for queue in others if queue.items)

    def _get_or_create(self, name: str, weight: float) -> _WorkspaceQueue[Item]:
        queue = self._workspaces.get(name)
        if queue is None:
            if len(self._workspaces) >= MAX_IDLE_WORKSPACES:
                self._evict_idle()
            queue = self._workspaces[name] = _WorkspaceQueue(name)
        queue.weight = weight
        return queue

    def _evict_idle(self) -> None:
        # Callers choose the names, so their number is bounded. An evicted workspace
        # gains at most one turn.
        self._workspaces = {name: queue for name, queue in self._workspaces.items() if queue.items}
        self._heap = [entry for entry in self._heap if entry[2].items]
        heapq.heapify(self._heap)

    def _enqueue_ready(self, queue: _WorkspaceQueue[Item]) -> None:
        if queue.items and not queue.is_ready:
            queue.is_ready = True
            self._sequence += 1
            heapq.heappush(self._heap, (queue.start_tag, self._sequence, queue))
