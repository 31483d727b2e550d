"""Bounds the memory that unfinished parts of answers take together.

The limit of a single answer is not enough: hundreds of answers at that limit would exhaust the
memory. This module does no I/O.
"""

from __future__ import annotations

import types
import typing

import attrs
import trio

LIMIT_BYTES = 16 * 1024 * 1024


class AnswerMemoryError(Exception):
    """An answer has to end because answers take too much memory."""


@attrs.define(eq=False)
class AnswerMemory:
    """The parts of answers that this entry holds.

    If they exceed the limit, the answer ends that has taken most for the longest time. A server
    sends a sound answer as fast as its links allow, so one without end comes first.

    :ivar limit_bytes: largest total size
    """

    limit_bytes: int = LIMIT_BYTES
    _held: set[HeldAnswer] = attrs.field(factory=set, init=False)
    _total_bytes: int = attrs.field(default=0, init=False)

    def hold(self) -> HeldAnswer:
        """Return the memory of one answer, as a context manager."""
        return HeldAnswer(self)

    def resize(self, held: HeldAnswer, size_bytes: int) -> None:
        """Set the size of what is held of an answer, and end answers if all take too much."""
        self._total_bytes += size_bytes - held.size_bytes
        held.size_bytes = size_bytes
        while self._total_bytes > self.limit_bytes:
            now_s = trio.current_time()
            costliest = max(self._held, key=lambda each: each.cost(now_s))
            self.remove(costliest)
            costliest.evict()

    def add(self, held: HeldAnswer) -> None:
        """Take an answer into account."""
        self._held.add(held)

    def remove(self, held: HeldAnswer) -> None:
        """Forget an answer; does nothing if it was removed before."""
        if held in self._held:
            self._held.discard(held)
            self._total_bytes -= held.size_bytes


@attrs.define(eq=False)
class HeldAnswer:
    """What this entry holds of one answer, while the context is open.

    :ivar size_bytes: size so far
    :ivar body: the part of the body that has arrived; emptied at the end, as errors refer to it
    """

    _memory: AnswerMemory
    body: bytearray = attrs.field(factory=bytearray, init=False)
    size_bytes: int = attrs.field(default=0, init=False)
    _began_s: float = attrs.field(factory=trio.current_time, init=False)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)
    _is_evicted: bool = attrs.field(default=False, init=False)

    def append(self, chunk: bytes) -> None:
        """Append a part of the body.

        :raises AnswerMemoryError: when this answer has to end
        """
        self.body += chunk
        self.resize(len(self.body))

    def resize(self, size_bytes: int) -> None:
        """Set the size of what is held, in ``body`` or elsewhere.

        :raises AnswerMemoryError: when this answer has to end
        """
        if not self._is_evicted:
            self._memory.resize(self, size_bytes)
        self._check()

    def cost(self, now_s: float) -> float:
        """Return the product of size and time."""
        return self.size_bytes * (now_s - self._began_s + 1e-3)

    def evict(self) -> None:
        """End the answer."""
        self._is_evicted = True
        self._scope.cancel()

    def _check(self) -> None:
        if self._is_evicted:
            raise AnswerMemoryError(f"answers exceed {self._memory.limit_bytes} bytes together")

    def __enter__(self) -> HeldAnswer:
        """Take the answer into account."""
        self._memory.add(self)
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> typing.Literal[False]:
        """Forget the answer.

        :raises AnswerMemoryError: when it was ended meanwhile
        """
        self._memory.remove(self)
        self.body.clear()
        if self._scope.__exit__(kind, error, traceback) and self._scope.cancelled_caught:
            self._check()
        return False
