"""The command that runs an entry on the users' platform."""

from toucanhold import exitstatus
from toucanhold.cli import command, definitions
from toucanhold.platform import running


class PlatformEntryCommand(command.Command):
    """Run an entry on the users' platform."""

    command_definition = definitions.PLATFORM_ENTRY

    def execute_command(self) -> exitstatus.ExitStatus:
        """Run the entry until it stops."""
        return running.run(self.env)
