"""Measures the responses that are sent to callers."""

import attrs

from toucanhold import asgi, metrics

EVENT_START = b"data:"
# Recorded when no response was started; not a standard code, but used so by nginx.
ABORTED_STATUS = 499
COMPLETE = "complete"
INCOMPLETE = "broken-off"


@attrs.define(eq=False)
class TimedSend:
    """An ASGI ``send`` that records status, stream events and completeness of a response."""

    send: asgi.Send
    timer: metrics.RequestTimer
    _status: int = attrs.field(default=ABORTED_STATUS, init=False)
    _is_event_stream: bool = attrs.field(default=False, init=False)
    _is_complete: bool = attrs.field(default=False, init=False)

    @property
    def has_started(self) -> bool:
        """Whether the status and headers of the response have been sent."""
        return self._status != ABORTED_STATUS

    async def __call__(self, message: dict) -> None:
        """Record an ASGI message and forward it."""
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._is_event_stream = any(
                value.startswith(b"text/event-stream") for _, value in message["headers"]
            )
        elif message["type"] == "http.response.body":
            self._is_complete = not message.get("more_body", False)
            if self._is_event_stream and message["body"]:
                self.timer.record_events(message["body"].count(EVENT_START))
        await self.send(message)

    def finish(self) -> None:
        """Record the response in the metrics."""
        self.timer.finish(self._status, COMPLETE if self._is_complete else INCOMPLETE)
