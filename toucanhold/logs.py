"""Log output as JSON lines or human-readable text, optionally bounded and non-blocking."""

import json
import logging
import queue
import threading
import time
import typing

from toucanhold import events

LOG_FORMATS = ("json", "human")
# Lines that wait to be written; at 400 bytes each they take less than 1 MB.
MAX_QUEUED_LINES = 2000
# An entry logs about three lines per request; this is enough for 100 requests per second.
MAX_LINES_PER_S = 400
# Time limit for writing the last lines of a process.
FLUSH_TIMEOUT_S = 0.5

LOGGER = logging.getLogger(__name__)


class JsonFormatter(logging.Formatter):
    """Formats records as JSON objects, one per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as JSON, with the number, name and fields of its event."""
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
    """Formats records as text: time, severity, event number, message and fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as one line of text, followed by the traceback if there is one."""
        event = getattr(record, "event", None)
        number = f"{event.number} " if event is not None else ""
        fields = " ".join(f"{key}={value}" for key, value in getattr(record, "fields", {}).items())
        line = f"{_timestamp(record)} {record.levelname:7} {number}{record.getMessage()} {fields}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line.rstrip()


class BoundedHandler(logging.Handler):
    """Writes lines from a thread of its own, and drops lines above its rate and queue limits.

    Writing blocks when the reader of the output stops reading. Only the thread is blocked then;
    the tasks that serve requests put lines into a bounded queue, at a rate that a token bucket
    limits.

    :param max_lines_per_s: refill rate and capacity of the token bucket
    :param max_queued_lines: length of the queue
    :ivar dropped: number of lines dropped so far
    """

    def __init__(
        self,
        stream: typing.TextIO,
        max_lines_per_s: float = MAX_LINES_PER_S,
        max_queued_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._reported_dropped = 0
        self._max_lines_per_s = max_lines_per_s
        self._tokens = max_lines_per_s
        self._refilled_at_s = time.monotonic()
        self._queue: queue.Queue[str | None] = queue.Queue(max_queued_lines)
        self._thread = threading.Thread(target=self._write_queued, args=(stream,), daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._acquire_token(record):
            self.dropped += 1
            return
        unreported = self.dropped - self._reported_dropped
        if unreported and self._may_report_dropped():
            self._reported_dropped = self.dropped
            events.log(LOGGER, events.Event.LINES_DROPPED, count=unreported)
        try:
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Wait up to :data:`FLUSH_TIMEOUT_S` until the queued lines are written."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            self.dropped += 1
        else:
            self._thread.join(FLUSH_TIMEOUT_S)
        super().close()

    def _acquire_token(self, record: logging.LogRecord) -> bool:
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_at_s) * self._max_lines_per_s
        self._tokens = min(self._max_lines_per_s, refilled)
        self._refilled_at_s = now_s
        # A tenth of the bucket is reserved for errors, so that other lines cannot displace them.
        required = 1 if record.levelno >= logging.ERROR else self._max_lines_per_s / 10
        if self._tokens < required:
            return False
        self._tokens -= 1
        return True

    def _may_report_dropped(self) -> bool:
        # The report must not be dropped itself, or the number of dropped lines would be lost.
        return not self._queue.full() and self._tokens > self._max_lines_per_s / 10 + 1

    def _write_queued(self, stream: typing.TextIO) -> None:
        try:
            while (line := self._queue.get()) is not None:
                stream.write(line + "\n")
                if self._queue.empty():
                    stream.flush()
            stream.flush()
        except (OSError, ValueError):
            # The output is closed, so the error cannot be logged either. The queue fills up and
            # further lines are counted as dropped.
            return


def set_up(stream: typing.TextIO, log_format: str, level: str) -> None:
    """Send the logs of the package to ``stream``; writing blocks if its reader stalls.

    :param stream: an open text stream
    :param log_format: one of :data:`LOG_FORMATS`
    :param level: name of a level of :mod:`logging`, in any case
    """
    _install(logging.StreamHandler(stream), log_format, level)


def set_up_bounded(stream: typing.TextIO, level: str) -> BoundedHandler:
    """Send the logs of the package to ``stream`` as JSON, without blocking on its reader.

    :param stream: an open text stream
    :param level: name of a level of :mod:`logging`, in any case
    :return: the handler, which must be closed before the process ends
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
