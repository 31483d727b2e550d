"""Running a program that has one command."""

import sys

import cleo.application
import cleo.commands.command
import cleo.io.inputs.argv_input


def run(command: cleo.commands.command.Command) -> int:
    """Run a command on the words of this process, and return its exit status."""
    app = cleo.application.Application(command.name)
    app.auto_exits(False)
    app.add(command)
    words = [command.name, command.name, *sys.argv[1:]]
    return app.run(cleo.io.inputs.argv_input.ArgvInput(words))
