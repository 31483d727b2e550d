"""Runs a command and turns its errors into exit statuses."""

import collections.abc
import functools
import importlib

import cleo.application
import cleo.exceptions
import cleo.io.inputs.argv_input
import cleo.io.outputs.stream_output
import cleo.loaders.factory_command_loader

import toucanhold
from toucanhold import environment, exitstatus
from toucanhold.cli import command, definitions

PROGRAM = "toucanhold"
# Where each command lives. Only the one that is asked for is imported: an entry that has been
# killed is away for as long as its imports take, while callers press.
COMMANDS = (
    (definitions.ENTRY, "running", "EntryCommand"),
    (definitions.PLATFORM_ENTRY, "platform", "PlatformEntryCommand"),
    (definitions.CHECK, "documents", "CheckCommand"),
    (definitions.EXPLAIN, "documents", "ExplainCommand"),
    (definitions.APPLY, "documents", "ApplyCommand"),
    (definitions.DOCUMENT, "documents", "DocumentCommand"),
    (definitions.ZONE_OUT, "zones", "ZoneOutCommand"),
    (definitions.ZONE_IN, "zones", "ZoneInCommand"),
    (definitions.STATUS, "queries", "StatusCommand"),
    (definitions.ADDRESSES, "queries", "AddressesCommand"),
)


def run(
    words: collections.abc.Sequence[str], env: environment.Environment
) -> exitstatus.ExitStatus:
    """Run the command that ``words`` name.

    :param words: arguments without the program's name
    """
    app = cleo.application.Application(PROGRAM, toucanhold.__version__)
    app.auto_exits(False)
    factories = {
        shown.name: functools.partial(_new_command, module, name, env)
        for shown, module, name in COMMANDS
    }
    app.set_command_loader(cleo.loaders.factory_command_loader.FactoryCommandLoader(factories))
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


def _new_command(module: str, name: str, env: environment.Environment) -> command.Command:
    return getattr(importlib.import_module(f"toucanhold.cli.{module}"), name)(env)
