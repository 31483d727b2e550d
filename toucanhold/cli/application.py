"""Runs a command and turns its errors into exit statuses."""

import collections.abc

import cleo.application
import cleo.exceptions
import cleo.io.inputs.argv_input
import cleo.io.outputs.stream_output

import toucanhold
from toucanhold import environment, exitstatus
from toucanhold.cli import documents, platform, queries, running, zones

PROGRAM = "toucanhold"
COMMANDS = (
    running.EntryCommand,
    platform.PlatformEntryCommand,
    documents.CheckCommand,
    documents.ExplainCommand,
    documents.ApplyCommand,
    documents.DocumentCommand,
    zones.ZoneOutCommand,
    zones.ZoneInCommand,
    queries.StatusCommand,
    queries.AddressesCommand,
)


def run(
    words: collections.abc.Sequence[str], env: environment.Environment
) -> exitstatus.ExitStatus:
    """Run the command that ``words`` name.

    :param words: arguments without the program's name
    """
    app = cleo.application.Application(PROGRAM, toucanhold.__version__)
    app.auto_exits(False)
    for command in COMMANDS:
        app.add(command(env))
    app.catch_exceptions(False)
    errors = cleo.io.outputs.stream_output.StreamOutput(env.stderr)
    try:
        code = app.run(
            cleo.io.inputs.argv_input.ArgvInput([PROGRAM, *words]),
            cleo.io.outputs.stream_output.StreamOutput(env.stdout),
            errors,
        )
    except cleo.exceptions.CleoError as error:
        errors.write_line(f"<error>{error}</error>")
        return exitstatus.ExitStatus.USAGE
    return exitstatus.ExitStatus(code)
