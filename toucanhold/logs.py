"""Log output: JSON lines or a form for people."""

import json
import logging
import time
import typing

LOG_FORMATS = ("json", "human")


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


def set_up(stream: typing.TextIO, log_format: str, level: str) -> None:
    """Send the package's logs to ``stream``.

    :param stream: an open text stream
    :param log_format: one of :data:`LOG_FORMATS`
    :param level: a name of :mod:`logging`'s levels
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter() if log_format == "json" else HumanFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("toucanhold").setLevel(level.upper())


def _timestamp(record: logging.LogRecord) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"
