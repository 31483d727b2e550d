"""Splits a byte stream into server-sent events."""

import collections.abc

import attrs

DONE_DATA = b"[DONE]"
EVENT_LIMIT_BYTES = 1024 * 1024
# Length of the longest end of an event: two line ends.
MAX_END_BYTES = 4


class FramingError(Exception):
    """An event exceeds ``EVENT_LIMIT_BYTES``, or the stream is not server-sent events."""


@attrs.frozen
class ServerSentEvent:
    """One complete event.

    :ivar raw: its bytes, including the blank line that ends it
    :ivar event_id: the ``id`` field; empty without one
    :ivar data: the ``data`` fields, joined by newlines
    """

    raw: bytes
    event_id: bytes = b""
    data: bytes = b""

    @property
    def has_content(self) -> bool:
        """Whether it has an ID or data, unlike a comment."""
        return bool(self.event_id or self.data)

    @property
    def is_end(self) -> bool:
        """Whether this is the marker that ends a complete stream."""
        return self.data == DONE_DATA


@attrs.define
class EventSplitter:
    """Splits a stream of bytes into complete events and buffers an incomplete one."""

    _buffer: bytearray = attrs.field(factory=bytearray)
    # Length of the beginning of the buffer that holds no end of an event.
    _searched_bytes: int = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._buffer)

    def clear(self) -> None:
        """Discard the incomplete event."""
        self._buffer.clear()

    def feed(self, chunk: bytes) -> collections.abc.Iterator[ServerSentEvent]:
        """Yield the events that ``chunk`` completes.

        :raises FramingError: when an incomplete event exceeds ``EVENT_LIMIT_BYTES``
        """
        self._buffer += chunk
        while True:
            end, length = _event_end(self._buffer, self._searched_bytes)
            if end < 0:
                self._searched_bytes = max(0, len(self._buffer) - MAX_END_BYTES + 1)
                break
            self._searched_bytes = 0
            raw = bytes(self._buffer[: end + length])
            del self._buffer[: end + length]
            yield _parse(raw)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise FramingError(f"an event exceeds {EVENT_LIMIT_BYTES} bytes")


def _event_end(buffer: bytearray, start: int) -> tuple[int, int]:
    unix, dos = buffer.find(b"\n\n", start), buffer.find(b"\r\n\r\n", start)
    if dos >= 0 and (unix < 0 or dos < unix):
        return dos, 4
    return unix, 2


def _parse(raw: bytes) -> ServerSentEvent:
    event_id, data = b"", []
    for line in raw.splitlines():
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"id":
            event_id = value
    return ServerSentEvent(raw, event_id, b"\n".join(data))
