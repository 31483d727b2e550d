"""Memory for request bodies that are open."""

import contextlib

import attrs


class BodiesFullError(Exception):
    """No further byte of a request body can be taken now."""


@attrs.define(eq=False)
class OpenBodies:
    """Bounds the bytes of all open request bodies together.

    Each body has a limit, but thousands of requests at that limit would take all memory.
    """

    limit_bytes: int
    _held_bytes: int = attrs.field(default=0, init=False)

    @contextlib.contextmanager
    def hold(self):
        """Hold the bytes of one body while the context is open."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self._held_bytes -= held.size_bytes

    def take(self, size_bytes: int) -> None:
        """Count further bytes.

        :raises BodiesFullError: when they do not fit
        """
        if self._held_bytes + size_bytes > self.limit_bytes:
            raise BodiesFullError
        self._held_bytes += size_bytes


@attrs.define(eq=False)
class HeldBody:
    """One body's part."""

    _bodies: OpenBodies
    size_bytes: int = 0

    def grow(self, size_bytes: int) -> None:
        """Add bytes that have arrived.

        :raises BodiesFullError: when they do not fit
        """
        self._bodies.take(size_bytes)
        self.size_bytes += size_bytes
