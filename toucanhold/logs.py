"""Log output: JSON lines or a form for people, bounded and never waited for."""

import json
import logging
import queue
import threading
import time
import typing

from toucanhold import events

LOG_FORMATS = ("json", "human")
# Lines that wait for the reader of the output; at 400 bytes each, under a megabyte.
QUEUE_LINES = 2000
# An entry writes about three lines a request; this covers a hundred requests a second.
LINES_PER_S = 400
# How long the last lines of a process may take to be written.
FLUSH_TIMEOUT_S = 0.5

LOGGER = logging.getLogger(__name__)


class JsonFormatter(logging.Formatter):
    """One JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Render ``record`` with its event number and fields."""
        line = {
            "time": _timestamp(record),
            "severity": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if event is not None:
            line |= {"event": event.number, "name": event.name}
        line |= getattr(record, "fields", {})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class HumanFormatter(logging.Formatter):
    """Time, severity, event, message and fields in columns."""

    def format(self, record: logging.LogRecord) -> str:
        """Render ``record`` for a terminal."""
        event = getattr(record, "event", None)
        number = f"{event.number} " if event is not None else ""
        fields = " ".join(f"{key}={value}" for key, value in getattr(record, "fields", {}).items())
        line = f"{_timestamp(record)} {record.levelname:7} {number}{record.getMessage()} {fields}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line.rstrip()


class BoundedHandler(logging.Handler):
    """Hands lines to a thread that writes them, and drops what is too much.

    A reader that stops reading blocks whoever writes to it. Here that is a thread of its own; the
    tasks that serve requests only put lines into a queue of bounded length, at a bounded rate.

    :ivar dropped: lines left out since the last line that told so
    """

    def __init__(
        self, stream: typing.TextIO, lines_per_s: float = LINES_PER_S, lines: int = QUEUE_LINES
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._lines_per_s = lines_per_s
        self._allowed = lines_per_s
        self._filled_at_s = time.monotonic()
        self._queue: queue.Queue[str | None] = queue.Queue(lines)
        self._thread = threading.Thread(target=self._write, args=(stream,), daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._may_write(record):
            self.dropped += 1
            return
        if self.dropped and self._has_room():
            dropped, self.dropped = self.dropped, 0
            events.log(LOGGER, events.Event.LINES_DROPPED, count=dropped)
        try:
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Wait a little for the last lines."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            self.dropped += 1
        else:
            self._thread.join(FLUSH_TIMEOUT_S)
        super().close()

    def _may_write(self, record: logging.LogRecord) -> bool:
        now_s = time.monotonic()
        filled = self._allowed + (now_s - self._filled_at_s) * self._lines_per_s
        self._allowed = min(self._lines_per_s, filled)
        self._filled_at_s = now_s
        # Errors go first: a flood of ordinary lines leaves a tenth of the rate to them.
        least = 1 if record.levelno >= logging.ERROR else self._lines_per_s / 10
        if self._allowed < least:
            return False
        self._allowed -= 1
        return True

    def _has_room(self) -> bool:
        # The line that tells of the gap must not fall into it, or its count is lost.
        return not self._queue.full() and self._allowed > self._lines_per_s / 10 + 1

    def _write(self, stream: typing.TextIO) -> None:
        try:
            while (line := self._queue.get()) is not None:
                stream.write(line + "\n")
                if self._queue.empty():
                    stream.flush()
            stream.flush()
        except (OSError, ValueError):
            # The output itself is gone, so there is nowhere to tell it; the queue fills up and
            # further lines are counted as dropped.
            return


def set_up(stream: typing.TextIO, log_format: str, level: str) -> None:
    """Send the package's logs to ``stream``.

    :param stream: an open text stream
    :param log_format: one of :data:`LOG_FORMATS`
    :param level: a name of :mod:`logging`'s levels
    """
    _install(logging.StreamHandler(stream), log_format, level)


def set_up_bounded(stream: typing.TextIO, level: str) -> BoundedHandler:
    """Send the package's logs to ``stream`` as JSON, without ever waiting for its reader.

    :return: the handler; close it before the process ends
    """
    handler = BoundedHandler(stream)
    _install(handler, "json", level)
    return handler


def _install(handler: logging.Handler, log_format: str, level: str) -> None:
    handler.setFormatter(JsonFormatter() if log_format == "json" else HumanFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("toucanhold").setLevel(level.upper())


def _timestamp(record: logging.LogRecord) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"
