"""Measures answers to callers on their way out."""

import attrs

from toucanhold import asgi, metrics

EVENT_START = b"data:"
ABORTED_STATUS = 499
COMPLETE = "complete"
BROKEN_OFF = "broken-off"


@attrs.define(eq=False)
class TimedSend:
    """An ASGI ``send`` that notes status, events of a stream, and whether the answer was whole."""

    send: asgi.Send
    timer: metrics.RequestTimer
    _status: int = attrs.field(default=ABORTED_STATUS, init=False)
    _streams: bool = attrs.field(default=False, init=False)
    _ended: bool = attrs.field(default=False, init=False)

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._status != ABORTED_STATUS

    async def __call__(self, message: dict) -> None:
        """Pass a message on."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._streams = any(
                value.startswith(b"text/event-stream") for _, value in message["headers"]
            )
        elif message["type"] == "http.response.body":
            self._ended = not message.get("more_body", False)
            if self._streams and message["body"]:
                self.timer.record_events(message["body"].count(EVENT_START))
        await self.send(message)

    def finish(self) -> None:
        """Record the answer."""
        self.timer.finish(self._status, COMPLETE if self._ended else BROKEN_OFF)
