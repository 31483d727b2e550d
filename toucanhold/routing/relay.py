"""Buffers a backend server's answer on its way to the caller."""

import collections.abc

import attrs
import trio

from toucanhold.backends import client
from toucanhold.routing import requests

MAX_BUFFER_BYTES = 64 * 1024
CALLER_STALL_TIMEOUT_S = 10.0


@attrs.define(eq=False)
class Relay:
    """Carries one answer from the task that reads it to the task that writes it.

    Parts that arrive during a write to the caller are merged, so that under load many tokens share
    the cost of one write; an idle connection gets each token at once.

    :ivar status: HTTP status; 0 until it is known
    """

    status: int = 0
    headers: client.Headers = ()
    _parts: list[bytes] = attrs.field(factory=list)
    _buffered_bytes: int = 0
    _error: requests.RequestError | None = None
    _is_ended: bool = False
    _waiting_readers: trio.lowlevel.ParkingLot = attrs.field(factory=trio.lowlevel.ParkingLot)
    _waiting_writers: trio.lowlevel.ParkingLot = attrs.field(factory=trio.lowlevel.ParkingLot)

    def start(self, status: int, headers: client.Headers) -> None:
        """Set status and headers; later calls, for resumed attempts, are ignored."""
        if not self.status:
            self.status, self.headers = status, headers
            self._waiting_readers.unpark_all()

    def put(self, part: bytes) -> None:
        """Append a part of the body."""
        self._parts.append(part)
        self._buffered_bytes += len(part)
        self._waiting_readers.unpark_all()

    def is_full(self) -> bool:
        """Tell whether the buffer exceeds ``MAX_BUFFER_BYTES``."""
        return self._buffered_bytes > MAX_BUFFER_BYTES

    async def wait_for_space(self) -> None:
        """Wait until the buffer is not full.

        :raises requests.RequestError: when the caller reads nothing for
            ``CALLER_STALL_TIMEOUT_S``
        """
        while self.is_full():
            with trio.move_on_after(CALLER_STALL_TIMEOUT_S) as scope:
                await self._waiting_writers.park()
            if scope.cancelled_caught:
                # A caller that does not read would occupy a slot of the engine until its deadline.
                raise requests.RequestError(
                    requests.Problem.DEADLINE,
                    requests.Outcome.RAN,
                    f"the caller read nothing for {CALLER_STALL_TIMEOUT_S:.0f} s",
                )

    def end(self, error: requests.RequestError | None = None) -> None:
        """End the answer; it is complete if there is no error."""
        self._is_ended, self._error = True, error
        self._waiting_readers.unpark_all()

    async def wait_for_headers(self) -> None:
        """Wait for status and headers.

        :raises requests.RequestError: when the answer fails before them
        """
        while not self.status and not self._is_ended:
            await self._waiting_readers.park()
        if not self.status:
            raise self._error

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the buffered parts of the body, merged, as soon as there are any.

        :raises requests.RequestError: when the answer cannot be completed
        """
        while True:
            if self._parts:
                parts, self._parts, self._buffered_bytes = self._parts, [], 0
                self._waiting_writers.unpark_all()
                yield parts[0] if len(parts) == 1 else b"".join(parts)
            elif self._error is not None:
                raise self._error
            elif self._is_ended:
                return
            else:
                await self._waiting_readers.park()
