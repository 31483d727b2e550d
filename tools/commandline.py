"""Runs a program that consists of one command."""

import sys

import cleo.application
import cleo.commands.command
import cleo.io.inputs.argv_input


def run(command: cleo.commands.command.Command) -> int:
    """Run a command with this process's arguments and return its exit status."""
    app = cleo.application.Application(command.name)
    app.auto_exits(False)
    app.add(command)
    arguments = [command.name, command.name, *sys.argv[1:]]
    return app.run(cleo.io.inputs.argv_input.ArgvInput(arguments))
