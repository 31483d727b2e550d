"""The command that runs an entry."""

import attrs
import trio

from toucanhold import entry, exitstatus, external, logs, serving, settings
from toucanhold.cli import command, definitions
from toucanhold.peers import transport


class EntryCommand(command.Command):
    """Run an entry."""

    command_definition = definitions.ENTRY

    def execute_command(self) -> exitstatus.ExitStatus:
        """Validate the settings and run the entry until it stops."""
        names = [settings.flag_name(field) for field in attrs.fields(settings.EntrySettings)]
        flags = {name: self.option(name) for name in names}
        try:
            entry_settings = settings.load(flags, self.env.variables)
        except settings.InvalidSettingsError as error:
            self.fail(exitstatus.ExitStatus.USAGE, error.message, *map(str, error.exceptions))
            return exitstatus.ExitStatus.USAGE
        logs.set_up(self.env.stderr, entry_settings.log_format, entry_settings.log_level)
        return self._run(entry_settings)

    def _run(self, entry_settings: settings.EntrySettings) -> exitstatus.ExitStatus:
        errors: list[BaseException] = []
        try:
            trio.run(_run_entry, entry_settings)
        except* (serving.ListenError, transport.TransportError) as group:
            errors += _flatten(group)
        if not errors:
            return exitstatus.ExitStatus.OK
        self.fail(exitstatus.ExitStatus.UNAVAILABLE, *map(str, errors))
        return exitstatus.ExitStatus.UNAVAILABLE


async def _run_entry(entry_settings: settings.EntrySettings) -> None:
    await entry.EntryApplication(entry_settings, external.from_settings(entry_settings)).run()


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    flattened: list[BaseException] = []
    for error in group.exceptions:
        flattened += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return flattened
