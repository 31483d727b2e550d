"""Base classes of the operators' commands."""

import abc

import trio

from toucanhold import exitstatus
from toucanhold.cli import command, definitions
from toucanhold.configuration import document
from toucanhold.operators import client

EXIT_STATUS_BY_KIND = {
    "invalid": exitstatus.ExitStatus.INVALID,
    "conflict": exitstatus.ExitStatus.CONFLICT,
    "unavailable": exitstatus.ExitStatus.UNAVAILABLE,
    "unreachable": exitstatus.ExitStatus.UNAVAILABLE,
    "not-drainable": exitstatus.ExitStatus.CONFLICT,
    "unknown-outcome": exitstatus.ExitStatus.UNKNOWN,
}


class ErrorMappingCommand(command.Command):
    """A command that maps errors of documents and of calls to entries to exit statuses."""

    def handle(self) -> int:
        """See :class:`command.Command`."""
        try:
            return super().handle()
        except client.OperatorsClientError as error:
            status = EXIT_STATUS_BY_KIND.get(error.kind, exitstatus.ExitStatus.ERROR)
            return self.fail(status, f"{error.kind}: {error}", *error.mistakes)
        except document.InvalidDocumentError as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            return self.fail(exitstatus.ExitStatus.INVALID, error.message, *mistakes)


class OperatorsApiCommand(ErrorMappingCommand):
    """A command that calls the operators' interface of an entry."""

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        return trio.run(self.call_entry, self._new_client())

    @abc.abstractmethod
    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """Run the command against an entry.

        :raises client.OperatorsClientError: when the entry refuses or cannot be reached
        """

    def _new_client(self) -> client.OperatorsClient:
        environment_variables = self.env.variables
        url = self.option("entry-url") or environment_variables.get(definitions.ENTRY_URL_VARIABLE)
        token = environment_variables.get(definitions.OPERATOR_TOKEN_VARIABLE, "")
        ca_file = self.option("ca") or environment_variables.get(definitions.CA_VARIABLE, "")
        if not token:
            raise command.UsageError(
                f"{definitions.OPERATOR_TOKEN_VARIABLE} is not set; expected an operator's token"
            )
        return client.OperatorsClient(
            (url or definitions.DEFAULT_ENTRY_URL).rstrip("/"), token, ca_file
        )
