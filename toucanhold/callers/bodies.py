"""Limits the memory that request bodies take together."""

import contextlib

import attrs


class BodyMemoryExhaustedError(Exception):
    """The memory budget for request bodies is exhausted."""


@attrs.define(eq=False)
class BodyMemoryBudget:
    """Bounds the total size of all open request bodies.

    The limit of each single body is not enough: thousands of requests at that limit would exhaust
    the memory.

    :ivar limit_bytes: largest total size of all open bodies
    """

    limit_bytes: int
    _reserved_bytes: int = attrs.field(default=0, init=False)

    @contextlib.contextmanager
    def open_reservation(self):
        """Yield a :class:`BodyReservation` of 0 bytes, released when the context ends."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self._reserved_bytes -= reservation.size_bytes

    def reserve(self, size_bytes: int) -> None:
        """Reserve further bytes.

        :raises BodyMemoryExhaustedError: when the total would exceed the limit
        """
        if self._reserved_bytes + size_bytes > self.limit_bytes:
            raise BodyMemoryExhaustedError
        self._reserved_bytes += size_bytes


@attrs.define(eq=False)
class BodyReservation:
    """The share of one body in the memory budget.

    :ivar size_bytes: bytes reserved so far
    """

    _budget: BodyMemoryBudget
    size_bytes: int = 0

    def grow(self, size_bytes: int) -> None:
        """Reserve memory for bytes that have arrived.

        :raises BodyMemoryExhaustedError: when the total would exceed the limit
        """
        self._budget.reserve(size_bytes)
        self.size_bytes += size_bytes
