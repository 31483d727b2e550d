"""What the commands of operators share."""

import abc

import trio

from toucanhold import exitstatus
from toucanhold.cli import command, definitions
from toucanhold.configuration import document
from toucanhold.operators import client

STATUS_OF_KIND = {
    "invalid": exitstatus.ExitStatus.INVALID,
    "conflict": exitstatus.ExitStatus.CONFLICT,
    "unavailable": exitstatus.ExitStatus.UNAVAILABLE,
    "unreachable": exitstatus.ExitStatus.UNAVAILABLE,
    "not-drainable": exitstatus.ExitStatus.CONFLICT,
    "unknown-outcome": exitstatus.ExitStatus.UNKNOWN,
}


class OperatingCommand(command.Command):
    """A command that reads documents or asks an entry."""

    def handle(self) -> int:
        """See :class:`command.Command`."""
        try:
            return super().handle()
        except client.OperatorsClientError as error:
            status = STATUS_OF_KIND.get(error.kind, exitstatus.ExitStatus.ERROR)
            return self.fail(status, f"{error.kind}: {error}", *error.mistakes)
        except document.InvalidDocumentError as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            return self.fail(exitstatus.ExitStatus.INVALID, error.message, *mistakes)


class OperatorCommand(OperatingCommand):
    """A command that calls an entry's operators' interface."""

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        return trio.run(self.call_entry, self._client())

    @abc.abstractmethod
    async def call_entry(self, entry: client.OperatorsClient) -> exitstatus.ExitStatus:
        """Do the command's work against an entry."""

    def _client(self) -> client.OperatorsClient:
        variables = self.env.variables
        url = self.option("entry-url") or variables.get(definitions.ENTRY_URL_VARIABLE)
        token = variables.get(definitions.OPERATOR_TOKEN_VARIABLE, "")
        authority = self.option("ca") or variables.get(definitions.CA_VARIABLE, "")
        if not token:
            raise command.UsageError(f"{definitions.OPERATOR_TOKEN_VARIABLE} is not set")
        return client.OperatorsClient(
            (url or definitions.DEFAULT_ENTRY_URL).rstrip("/"), token, authority
        )
