"""Environment variables and standard streams, passed as an argument instead of as globals."""

import collections.abc
import os
import sys
import typing

import attrs


@attrs.define
class Environment:
    """Environment variables and standard streams of a run.

    :ivar variables: environment variables by name
    :ivar stdout: receives answers
    :ivar stderr: receives errors and logs
    """

    variables: collections.abc.Mapping[str, str] = attrs.field(factory=lambda: dict(os.environ))
    stdout: typing.TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: typing.TextIO = attrs.field(factory=lambda: sys.stderr)
