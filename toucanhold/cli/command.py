"""What all commands share."""

import abc
import collections.abc
import json
import math

import cleo.commands.command

from toucanhold import codec, environment, exitstatus
from toucanhold.cli import definitions


class UsageError(Exception):
    """An argument or option is wrong."""


class Command(cleo.commands.command.Command, abc.ABC):
    """A command of the command line.

    :cvar shown: its names and help
    """

    shown: definitions.CommandDefinition

    def __init__(self, env: environment.Environment) -> None:
        self.name = self.shown.name
        self.description = self.shown.description
        self.help = self.shown.help
        self.arguments = list(self.shown.arguments)
        self.options = list(self.shown.options)
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Run the command and turn its errors into lines and an exit status."""
        try:
            return int(self.execute_command())
        except UsageError as error:
            return self.fail(exitstatus.ExitStatus.USAGE, str(error))

    @abc.abstractmethod
    def execute_command(self) -> exitstatus.ExitStatus:
        """Do the command's work."""

    def fail(self, status: exitstatus.ExitStatus, *lines: str) -> int:
        """Print error lines and return the exit status."""
        for line in lines:
            self.line_error(line, style="error")
        return int(status)

    def progress(self, line: str) -> None:
        """Tell a waiting operator something new, apart from the answer."""
        self.line_error(line, style="comment")

    def show(self, value: object, text: collections.abc.Iterable[str]) -> None:
        """Print ``value`` as JSON, or ``text``, as the operator asked."""
        chosen = self.option("format")
        if chosen not in definitions.FORMATS:
            raise UsageError(f"--format must be one of {', '.join(definitions.FORMATS)}")
        if chosen == "json":
            self.write_plain(json.dumps(codec.CONVERTER.unstructure(value), indent=2))
            return
        for line in text:
            self.write_plain(line)

    def write_plain(self, line: str) -> None:
        """Print a line as it is: names in it may look like the library's style tags."""
        self.io.write_line(line.replace("<", "\\<"))

    def number_option(self, name: str, kind: type, low: float = 0) -> float:
        """Return a numeric option.

        :raises UsageError: when it is not a number of ``low`` or more
        """
        try:
            value = kind(self.option(name))
        except ValueError:
            value = math.nan
        if not low <= value < math.inf:
            raise UsageError(f"--{name} must be a number of {low} or more")
        return value
