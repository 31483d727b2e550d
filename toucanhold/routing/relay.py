"""The buffer between a backend server's answer and its caller."""

import collections.abc

import attrs
import trio

from toucanhold.backends import client
from toucanhold.routing import requests

BUFFER_LIMIT_BYTES = 64 * 1024
STALLED_CALLER_S = 10.0


@attrs.define(eq=False)
class Relay:
    """Carries one answer from the task that reads it to the task that writes it.

    What arrives while the caller's connection is being written to is put together, so that under
    load the cost of a write is shared by many tokens; an idle caller gets each at once.

    :ivar status: HTTP status; 0 until the head is known
    """

    status: int = 0
    headers: client.Headers = ()
    _parts: list[bytes] = attrs.field(factory=list)
    _size_bytes: int = 0
    _error: requests.RequestError | None = None
    _ended: bool = False
    _readers: trio.lowlevel.ParkingLot = attrs.field(factory=trio.lowlevel.ParkingLot)
    _writers: trio.lowlevel.ParkingLot = attrs.field(factory=trio.lowlevel.ParkingLot)

    def start(self, status: int, headers: client.Headers) -> None:
        """Give the head of the answer; later heads of the same answer are dropped."""
        if not self.status:
            self.status, self.headers = status, headers
            self._readers.unpark_all()

    def put(self, part: bytes) -> None:
        """Add a part of the body."""
        self._parts.append(part)
        self._size_bytes += len(part)
        self._readers.unpark_all()

    def is_full(self) -> bool:
        """Tell whether the caller has fallen behind."""
        return self._size_bytes > BUFFER_LIMIT_BYTES

    async def wait_space(self) -> None:
        """Wait until the caller has taken enough.

        :raises requests.RequestError: when it takes nothing for too long
        """
        while self.is_full():
            with trio.move_on_after(STALLED_CALLER_S) as scope:
                await self._writers.park()
            if scope.cancelled_caught:
                # A caller that does not read would hold its engine's slot until its deadline.
                raise requests.RequestError(
                    requests.Problem.DEADLINE,
                    requests.Outcome.RAN,
                    f"the caller took nothing for {STALLED_CALLER_S:.0f} s",
                )

    def end(self, error: requests.RequestError | None = None) -> None:
        """End the answer, whole or with an error."""
        self._ended, self._error = True, error
        self._readers.unpark_all()

    async def wait_head(self) -> None:
        """Wait for the head.

        :raises requests.RequestError: when there is none
        """
        while not self.status and not self._ended:
            await self._readers.park()
        if not self.status:
            raise self._error

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield all that has arrived, whenever something has.

        :raises requests.RequestError: when the answer breaks off
        """
        while True:
            if self._parts:
                parts, self._parts, self._size_bytes = self._parts, [], 0
                self._writers.unpark_all()
                yield parts[0] if len(parts) == 1 else b"".join(parts)
            elif self._error is not None:
                raise self._error
            elif self._ended:
                return
            else:
                await self._readers.park()
