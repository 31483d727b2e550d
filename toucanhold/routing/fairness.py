"""Fair order among workspaces: start-time fair queueing with weights."""

import collections
import heapq
import typing

import attrs

MAX_IDLE_WORKSPACES = 1024

Item = typing.TypeVar("Item")


@attrs.define(eq=False)
class _Workspace(typing.Generic[Item]):
    """The waiting items of one workspace.

    :ivar start_tag: virtual time at which its next item may start
    :ivar is_ready: whether it stands in the heap
    """

    name: str
    weight: float = 1.0
    start_tag: float = 0.0
    is_ready: bool = False
    items: collections.deque[Item] = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class FairOrder(typing.Generic[Item]):
    """Items by workspace; each operation takes O(log n) in the number of workspaces."""

    _workspaces: dict[str, _Workspace[Item]] = attrs.field(factory=dict)
    _heap: list[tuple[float, int, _Workspace[Item]]] = attrs.field(factory=list)
    _virtual_time: float = 0.0
    _sequence: int = 0
    _count: int = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return self._count

    def waiting(self, workspace: str) -> int:
        """Return the number of items of one workspace."""
        known = self._workspaces.get(workspace)
        return len(known.items) if known else 0

    def charge(self, workspace: str, weight: float) -> None:
        """Count an item that started without waiting."""
        known = self._workspace(workspace, weight)
        start = max(known.start_tag, self._virtual_time)
        self._virtual_time = start
        known.start_tag = start + 1 / weight

    def push(self, workspace: str, weight: float, item: Item) -> None:
        """Add an item."""
        known = self._workspace(workspace, weight)
        if not known.items:
            # Time spent without waiting items earns no credit: a workspace that came back from a
            # pause would otherwise hold up all others until it had caught up.
            known.start_tag = max(known.start_tag, self._virtual_time)
        known.items.append(item)
        self._count += 1
        self._make_ready(known)

    def pop(self) -> tuple[str, Item] | None:
        """Return the next item in fair order with its workspace.

        The workspace takes part again after :meth:`make_ready`.
        """
        while self._heap:
            _, _, known = heapq.heappop(self._heap)
            known.is_ready = False
            if not known.items:
                continue
            item = known.items.popleft()
            self._count -= 1
            self._virtual_time = max(self._virtual_time, known.start_tag)
            known.start_tag = self._virtual_time + 1 / known.weight
            return known.name, item
        return None

    def put_back(self, workspace: str, item: Item) -> None:
        """Return an item that could not start, in front and without charge."""
        known = self._workspaces[workspace]
        known.start_tag -= 1 / known.weight
        known.items.appendleft(item)
        self._count += 1

    def make_ready(self, workspace: str) -> None:
        """Let a workspace take part again."""
        known = self._workspaces.get(workspace)
        if known is not None:
            self._make_ready(known)

    def remove(self, workspace: str, item: Item) -> None:
        """Drop an item that need not start any more."""
        known = self._workspaces[workspace]
        known.items.remove(item)
        self._count -= 1

    def longest(self) -> str:
        """Return the workspace with the most items by weight."""
        return max(
            self._workspaces.values(), key=lambda known: len(known.items) / known.weight
        ).name

    def newest(self, workspace: str) -> Item:
        """Return the last item of a workspace."""
        return self._workspaces[workspace].items[-1]

    def active_weight(self, workspace: str, weight: float) -> float:
        """Return the sum of the weights of workspaces that wait, ``workspace`` among them."""
        others = (each for each in self._workspaces.values() if each.name != workspace)
        return weight + sum(known.weight for known in others if known.items)

    def _workspace(self, name: str, weight: float) -> _Workspace[Item]:
        known = self._workspaces.get(name)
        if known is None:
            if len(self._workspaces) >= MAX_IDLE_WORKSPACES:
                self._forget_idle()
            known = self._workspaces[name] = _Workspace(name)
        known.weight = weight
        return known

    def _forget_idle(self) -> None:
        # Callers choose the names. One that is forgotten gains one turn at most.
        self._workspaces = {name: known for name, known in self._workspaces.items() if known.items}
        self._heap = [entry for entry in self._heap if entry[2].items]
        heapq.heapify(self._heap)

    def _make_ready(self, known: _Workspace[Item]) -> None:
        if known.items and not known.is_ready:
            known.is_ready = True
            self._sequence += 1
            heapq.heappush(self._heap, (known.start_tag, self._sequence, known))
