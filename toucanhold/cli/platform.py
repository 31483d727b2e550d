"""The command that runs an entry on the users' platform."""

from __future__ import annotations

import collections.abc
import functools

import trio

from toucanhold import exitstatus, logs
from toucanhold.cli import command, definitions
from toucanhold.platform import entry, settings


class PlatformEntryCommand(command.Command):
    """Run an entry on the users' platform."""

    command_definition = definitions.PLATFORM_ENTRY

    def execute_command(self) -> exitstatus.ExitStatus:
        """Validate the settings file and run the entry until it stops."""
        try:
            platform_settings = settings.load(self.env.variables)
        except settings.SettingsError as error:
            self.fail(exitstatus.ExitStatus.USAGE, f"invalid settings: {error}")
            return exitstatus.ExitStatus.USAGE
        handler = logs.set_up_bounded(self.env.stdout, "info")
        try:
            trio.run(_run, platform_settings, self.env.variables)
        finally:
            handler.close()
        return exitstatus.ExitStatus.OK


async def _run(
    platform_settings: settings.PlatformSettings, variables: collections.abc.Mapping[str, str]
) -> None:
    await entry.PlatformEntry(platform_settings, functools.partial(settings.load, variables)).run()
