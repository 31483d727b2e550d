"""HTTP/1.1 connections to backend servers that bound what a faulty answer costs this process.

A server in trouble may send bytes that are no answer for as long as its connection is open. Such an
answer ends early with an error; until then it takes little memory and never keeps the event loop.
"""

from __future__ import annotations

import collections.abc
import contextlib
import re
import typing

import attrs
import httpcore
import trio

HEAD_LIMIT_BYTES = 16 * 1024
HEAD_LIMIT_LINES = 128
MAX_INTERIM_HEADS = 8
# Parsing a head takes much longer per byte than a body, so it is read in small parts.
HEAD_READ_BYTES = 2 * 1024
BODY_READ_BYTES = 16 * 1024
# Chunks whose sizes and extensions take much more than their content are no answer.
FRAMING_ALLOWANCE_BYTES = 16 * 1024
STATUS_LINE_START = b"HTTP/1."
INTERIM_START = (b"HTTP/1.1 1", b"HTTP/1.0 1")
SWITCHING_PROTOCOLS = 101
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_BYTES = 3
FOLDED_LINE = re.compile(rb"\n[ \t]")

ReadCallback = collections.abc.Callable[[], None]


class InvalidAnswerError(httpcore.RemoteProtocolError):
    """A server sends bytes that are no answer."""


def ignore_read() -> None:
    """Let an answer go on; the default callback."""


@attrs.define(eq=False)
class AnswerStream(httpcore.AsyncNetworkStream):
    """The stream of a connection, which counts what arrives and checks the head of an answer.

    :ivar stream: the stream to the server
    :ivar read_count: number of reads
    :ivar received_bytes: number of bytes of the answer, its head included
    """

    stream: httpcore.AsyncNetworkStream
    read_count: int = attrs.field(default=0, init=False)
    received_bytes: int = attrs.field(default=0, init=False)
    _on_read: ReadCallback = attrs.field(default=ignore_read, init=False)
    _is_in_head: bool = attrs.field(default=False, init=False)
    _head_start: bytes = attrs.field(default=b"", init=False)
    _head_lines: int = attrs.field(default=0, init=False)
    _unchecked_head: bytearray = attrs.field(factory=bytearray, init=False)

    def begin_answer(self, on_read: ReadCallback) -> None:
        """Expect an answer from its beginning.

        :param on_read: called when bytes of it have arrived; may raise an error to end it
        """
        self._on_read, self._is_in_head = on_read, True
        self._head_start, self._head_lines, self.received_bytes = b"", 0, 0
        self._unchecked_head.clear()

    def end_head(self) -> None:
        """Expect the body of the answer."""
        self._is_in_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that have arrived; empty at the end of the stream.

        :raises InvalidAnswerError: when they cannot belong to the head of an answer
        """
        if self._is_in_head:
            self._check_head_size()
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
        data = await self.stream.read(max_bytes, timeout)
        self.read_count += 1
        if not data:
            return data
        self.received_bytes += len(data)
        if self._is_in_head:
            self._check_head_part(data)
        self._on_read()
        return data

    def _check_head_size(self) -> None:
        # The parser asks for more, so all bytes so far belong to heads.
        if self.received_bytes >= HEAD_LIMIT_BYTES:
            raise InvalidAnswerError(f"the head exceeds {HEAD_LIMIT_BYTES} bytes")
        if self._head_lines > HEAD_LIMIT_LINES:
            raise InvalidAnswerError(f"the head exceeds {HEAD_LIMIT_LINES} lines")

    def _check_head_part(self, data: bytes) -> None:
        if len(self._head_start) < len(STATUS_LINE_START):
            self._head_start = (self._head_start + data)[: len(STATUS_LINE_START)]
            if not STATUS_LINE_START.startswith(self._head_start):
                raise InvalidAnswerError(f"expected a status line, got {self._head_start!r}")
        if data.startswith(INTERIM_START) and data.count(STATUS_LINE_START) > MAX_INTERIM_HEADS:
            raise InvalidAnswerError(f"more than {MAX_INTERIM_HEADS} interim responses")
        end = data.find(b"\r\n\r\n")
        self._head_lines += data.count(b"\n", 0, end if end >= 0 else len(data))
        if self._head_lines > HEAD_LIMIT_LINES:
            raise InvalidAnswerError(f"the head exceeds {HEAD_LIMIT_LINES} lines")
        self._check_whole_heads(data)

    def _check_whole_heads(self, data: bytes) -> None:
        start = max(0, len(self._unchecked_head) - HEAD_END_BYTES + 1)
        self._unchecked_head += data
        while (end := HEAD_END.search(self._unchecked_head, start)) is not None:
            head = bytes(self._unchecked_head[: end.end()])
            _check_lines(head)
            if not head.startswith(INTERIM_START):
                # The rest belongs to the body.
                self._unchecked_head.clear()
                return
            del self._unchecked_head[: end.end()]
            start = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes."""
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        """See :class:`httpcore.AsyncNetworkStream`."""
        return self.stream.get_extra_info(info)


class BoundedConnection(httpcore.AsyncHTTP11Connection):
    """A connection to a backend server, which carries one request at a time."""

    READ_NUM_BYTES = BODY_READ_BYTES
    # Also limits the lines between chunks, and trailers.
    MAX_INCOMPLETE_EVENT_SIZE = HEAD_LIMIT_BYTES

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
    ) -> None:
        self._answer_stream = AnswerStream(stream)
        super().__init__(origin, self._answer_stream, keepalive_expiry)

    async def request(
        self, request: httpcore.Request, on_read: ReadCallback = ignore_read
    ) -> httpcore.Response:
        """Send a request and return the response, whose body is read by :meth:`chunks`.

        :param on_read: see :meth:`AnswerStream.begin_answer`
        :raises InvalidAnswerError: when the server sends something else
        """
        self._answer_stream.begin_answer(on_read)
        with _translated_parser_errors():
            response = await self.handle_async_request(request)
        self._answer_stream.end_head()
        if response.status == SWITCHING_PROTOCOLS:
            raise InvalidAnswerError("the server switches protocols, which was not requested")
        return response

    async def chunks(self, response: httpcore.Response) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in parts of up to ``BODY_READ_BYTES``.

        :raises InvalidAnswerError: when most of what arrives is not part of it
        """
        stream, body_bytes = self._answer_stream, 0
        head_bytes, read_count = stream.received_bytes, stream.read_count
        with _translated_parser_errors():
            async for chunk in response.aiter_stream():
                body_bytes += len(chunk)
                if stream.received_bytes > head_bytes + 2 * body_bytes + FRAMING_ALLOWANCE_BYTES:
                    raise InvalidAnswerError("most of the body is not content")
                if stream.read_count == read_count:
                    # A chunk that needed no read has not let other tasks run.
                    await trio.lowlevel.checkpoint()
                read_count = stream.read_count
                yield chunk


def _check_lines(head: bytes) -> None:
    # The parser reads more than HTTP allows: it appends a line that begins with a blank to the
    # value before it, and takes a line feed alone for a blank line, which makes the rest the body.
    if FOLDED_LINE.search(head):
        raise InvalidAnswerError("a line of the head begins with a blank")
    status_line = head.partition(b"\n")[0]
    if status_line.endswith(b"\r") and head.count(b"\n") != head.count(b"\r\n"):
        raise InvalidAnswerError("only some lines of the head end with a carriage return")


@contextlib.contextmanager
def _translated_parser_errors() -> collections.abc.Iterator[None]:
    # The parser converts a content-length of any number of digits.
    try:
        yield
    except ValueError as error:
        raise InvalidAnswerError(f"the answer cannot be parsed: {error}") from error
