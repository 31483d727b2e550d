"""Runs a command of the command line and returns its exit status."""

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
# The module and class of each command. Only the requested one is imported, because import time adds
# to the downtime of an entry that restarts under load.
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
    arguments: collections.abc.Sequence[str], env: environment.Environment
) -> exitstatus.ExitStatus:
    """Run one command.

    :param arguments: command-line arguments without the program's name
    :param env: environment variables and output streams
    :return: the exit status of the command; ``USAGE`` for an unknown command or wrong arguments
    """
    app = cleo.application.Application(PROGRAM, toucanhold.__version__)
    app.auto_exits(False)
    factories = {
        command_definition.name: functools.partial(_new_command, module, class_name, env)
        for command_definition, module, class_name in COMMANDS
    }
    app.set_command_loader(cleo.loaders.factory_command_loader.FactoryCommandLoader(factories))
    app.catch_exceptions(False)
    errors = cleo.io.outputs.stream_output.StreamOutput(env.stderr)
    try:
        code = app.run(
            cleo.io.inputs.argv_input.ArgvInput([PROGRAM, *arguments]),
            cleo.io.outputs.stream_output.StreamOutput(env.stdout),
            errors,
        )
    except cleo.exceptions.CleoError as error:
        errors.write_line(f"<error>{error}</error>")
        return exitstatus.ExitStatus.USAGE
    return exitstatus.ExitStatus(code)


def _new_command(module: str, class_name: str, env: environment.Environment) -> command.Command:
    return getattr(importlib.import_module(f"toucanhold.cli.{module}"), class_name)(env)
