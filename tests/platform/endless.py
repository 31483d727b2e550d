"""Backend servers that send bytes without end which are no answer."""

import itertools
import json

import attrs
import trio

HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-server-seal: seal-1\r\n"
FAST_BYTES = 64 * 1024
SLOW_BYTES = 40
SLOW_INTERVAL_S = 0.05

# Each place of an answer at which such bytes may begin: what is sent before them, and what is
# repeated without end.
PLACES = {
    "start": (b"", b"\x00\x17garbage "),
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header line": (HEAD + b"x-more: ", b"a"),
    "header lines": (HEAD, b"a:\r\n"),
    "long length": (HEAD + b"content-length: 99999999999999\r\n\r\n", b"x"),
    "digits of the length": (HEAD + b"content-length: ", b"9"),
    "length of many digits": (HEAD + b"content-length: " + b"9" * 5000 + b"\r\n\r\n", b"x"),
    "unframed body": (HEAD + b"\r\n", b"x"),
    "chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "tiny chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "chunk size": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"0"),
    "chunk extensions": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1;" + b"e" * 4000 + b"\r\nx\r\n",
    ),
    "trailers": (HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
    "failure": (b"HTTP/1.1 500 Oops\r\nx-attempt-id: %s\r\n\r\n", b"x"),
    "event": (HEAD + b"content-type: text/event-stream\r\n\r\ndata: ", b"x"),
    "event after others": (HEAD + b"\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: ", b"x"),
    "comments": (HEAD + b"\r\n", b": x\n\n"),
    "blank lines": (HEAD + b"\r\n", b"\n"),
    "repeated events": (HEAD + b"\r\n", b"id: 1\ndata: a\n\n"),
}


@attrs.define(eq=False)
class EndlessServer:
    """A server that begins an answer and never ends it.

    :ivar place: key of :data:`PLACES`
    :ivar is_fast: whether it sends as fast as it can; otherwise a few bytes at a time
    :ivar is_report: whether its reports are endless too
    :ivar vm: name of its VM in its load report
    :ivar durations_s: time until the connection was closed, of each request
    :ivar sent_bytes: number of bytes that could be sent, of each request
    """

    place: str
    is_fast: bool
    is_report: bool = False
    vm: str = ""
    durations_s: list = attrs.field(factory=list)
    sent_bytes: list = attrs.field(factory=list)

    async def handle(self, stream):
        """Serve one connection."""
        while request := await _receive_head(stream):
            if self.is_report or not request.startswith((b"GET /report", b"GET /v1/load")):
                break
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % self._report()
            )
        else:
            return
        began_s = trio.current_time()
        index = len(self.sent_bytes)
        self.sent_bytes.append(0)
        try:
            await self._send_without_end(stream, request, index)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.durations_s.append(trio.current_time() - began_s)
            await trio.aclose_forcefully(stream)

    def _report(self):
        fields = {"seq": 0, "busy": False, "vm": self.vm, "boot_id": "b1", "warmth": "warm"}
        body = json.dumps(fields).encode()
        return len(body), body

    async def _send_without_end(self, stream, request, index):
        before, repeated = PLACES[self.place]
        await stream.send_all(before.replace(b"%s", call_id(request)))
        size = FAST_BYTES if self.is_fast else SLOW_BYTES
        part = repeated * (1 + size // len(repeated))
        for offset in itertools.count(0, size):
            start = 0 if self.is_fast else offset % len(repeated)
            data = part if self.is_fast else part[start : start + size]
            await stream.send_all(data)
            self.sent_bytes[index] += len(data)
            await trio.sleep(0 if self.is_fast else SLOW_INTERVAL_S)


async def _receive_head(stream):
    """Return a request up to the end of its head; empty at the end of the connection."""
    request = b""
    try:
        while b"\r\n\r\n" not in request:
            data = await stream.receive_some()
            if not data:
                return b""
            request += data
    except trio.BrokenResourceError:
        return b""
    return request


def call_id(request):
    """Return the ID of a request, to be echoed."""
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() in (b"x-attempt-id", b"x-request-id"):
            return value.strip()
    return b""
