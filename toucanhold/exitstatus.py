"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the process; docs/OPERATORS.md lists the meanings."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    TIMEOUT = 6
    UNKNOWN = 7
    NOT_DURABLE = 8
    INTERRUPTED = 130
