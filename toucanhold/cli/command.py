"""The base class of all commands."""

import abc
import collections.abc
import json
import math

import cleo.commands.command

from toucanhold import codec, environment, exitstatus
from toucanhold.cli import definitions


class UsageError(Exception):
    """An argument or option is invalid."""


class Command(cleo.commands.command.Command, abc.ABC):
    """A command of the command line.

    :cvar command_definition: name, arguments, options and help of the command
    :ivar env: environment variables and output streams
    """

    command_definition: definitions.CommandDefinition

    def __init__(self, env: environment.Environment) -> None:
        self.name = self.command_definition.name
        self.description = self.command_definition.description
        self.help = self.command_definition.help
        self.arguments = list(self.command_definition.arguments)
        self.options = list(self.command_definition.options)
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Run the command, report usage errors and return the exit status."""
        try:
            return int(self.execute_command())
        except UsageError as error:
            return self.fail(exitstatus.ExitStatus.USAGE, str(error))

    @abc.abstractmethod
    def execute_command(self) -> exitstatus.ExitStatus:
        """Run the command.

        :raises UsageError: when an argument or option is invalid
        """

    def fail(self, status: exitstatus.ExitStatus, *lines: str) -> int:
        """Print lines to standard error and return the exit status."""
        for line in lines:
            self.line_error(line, style="error")
        return int(status)

    def print_progress(self, line: str) -> None:
        """Print a progress line to standard error, separate from the result."""
        self.line_error(line, style="comment")

    def print_result(self, value: object, text: collections.abc.Iterable[str]) -> None:
        """Print ``value`` as JSON or the lines of ``text``, depending on ``--format``.

        :raises UsageError: when the format is unknown
        """
        output_format = self.option("format")
        if output_format not in definitions.FORMATS:
            raise UsageError(f"--format must be one of {', '.join(definitions.FORMATS)}")
        if output_format == "json":
            self.write_plain(json.dumps(codec.CONVERTER.unstructure(value), indent=2))
            return
        for line in text:
            self.write_plain(line)

    def write_plain(self, line: str) -> None:
        """Print a line literally: ``<`` is escaped, as cleo would interpret style tags in it."""
        self.io.write_line(line.replace("<", "\\<"))

    def number_option(self, name: str, number_type: type, minimum: float = 0) -> float:
        """Return a numeric option.

        :param number_type: ``int`` or ``float``
        :raises UsageError: when the value is not a finite number of at least ``minimum``
        """
        try:
            value = number_type(self.option(name))
        except ValueError:
            value = math.nan
        if not minimum <= value < math.inf:
            raise UsageError(f"--{name} must be a number of at least {minimum}")
        return value
