"""The program as a function of its command-line arguments and environment."""

import collections.abc
import importlib
import signal
import sys

from toucanhold import environment, exitstatus, startup

# Runs without the command line's library, whose import adds to the time for which callers wait when
# all entries restart.
PLATFORM_ENTRY = ["platform"]


def main(
    arguments: collections.abc.Sequence[str] | None = None,
    env: environment.Environment | None = None,
) -> exitstatus.ExitStatus:
    """Run one command of the command line.

    :param arguments: command-line arguments without the program's name; by default those of the
        process
    :param env: environment variables and streams; by default those of the process
    :return: the exit status
    """
    env = env or environment.Environment()
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    try:
        if argument_list == PLATFORM_ENTRY:
            # Until the entry listens for it, the signal to reload would end the process.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
            startup.collect_garbage_rarely()
            with startup.paused_garbage_collection():
                running = importlib.import_module("toucanhold.platform.running")
            return running.run(env)
        return importlib.import_module("toucanhold.cli.application").run(argument_list, env)
    except KeyboardInterrupt:
        return exitstatus.ExitStatus.INTERRUPTED
