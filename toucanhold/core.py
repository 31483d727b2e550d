"""The story of a run: arguments in, exit status out."""

import collections.abc
import sys

from toucanhold import environment, exitstatus
from toucanhold.cli import application as cli_application


def main(
    arguments: collections.abc.Sequence[str] | None = None,
    env: environment.Environment | None = None,
) -> exitstatus.ExitStatus:
    """Run one command of the command line.

    :param arguments: words after the program's name; those of the process by default
    :param env: variables and streams; those of the process by default
    :return: the exit status
    """
    env = env or environment.Environment()
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return cli_application.run(words, env)
    except KeyboardInterrupt:
        return exitstatus.ExitStatus.INTERRUPTED
