"""The surroundings of a run, passed along instead of globals."""

import collections.abc
import os
import sys
import typing

import attrs


@attrs.define
class Environment:
    """Variables and streams of the process.

    :ivar variables: environment variables, name to value
    :ivar stdout: where answers go
    :ivar stderr: where errors and logs go
    """

    variables: collections.abc.Mapping[str, str] = attrs.field(factory=lambda: dict(os.environ))
    stdout: typing.TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: typing.TextIO = attrs.field(factory=lambda: sys.stderr)
