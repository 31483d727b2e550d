"""The command that runs an entry."""

import attrs
import trio

from toucanhold import entry, exitstatus, external, logs, serving, settings
from toucanhold.cli import command, definitions
from toucanhold.peers import transport


class EntryCommand(command.Command):
    """Run an entry."""

    shown = definitions.ENTRY

    def execute_command(self) -> exitstatus.ExitStatus:
        """Check the settings, then run."""
        names = [settings.flag_name(field) for field in attrs.fields(settings.EntrySettings)]
        flags = {name: self.option(name) for name in names}
        try:
            own = settings.load(flags, self.env.variables)
        except settings.InvalidSettingsError as error:
            self.fail(exitstatus.ExitStatus.USAGE, error.message, *map(str, error.exceptions))
            return exitstatus.ExitStatus.USAGE
        logs.set_up(self.env.stderr, own.log_format, own.log_level)
        return self._run(own)

    def _run(self, own: settings.EntrySettings) -> exitstatus.ExitStatus:
        problems: list[BaseException] = []
        try:
            trio.run(_run_entry, own)
        except* (serving.ListenError, transport.TransportError) as group:
            problems += _leaves(group)
        if not problems:
            return exitstatus.ExitStatus.OK
        self.fail(exitstatus.ExitStatus.UNAVAILABLE, *map(str, problems))
        return exitstatus.ExitStatus.UNAVAILABLE


async def _run_entry(own: settings.EntrySettings) -> None:
    await entry.EntryApplication(own, external.from_settings(own)).run()


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        found += _leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found
