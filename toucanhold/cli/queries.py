"""Commands that query an entry without changing anything."""

import json
import ssl

import httpcore

from toucanhold import exitstatus
from toucanhold.callers import app
from toucanhold.cli import definitions, operating
from toucanhold.operators import client
from toucanhold.output import text

CALL_TIMEOUT_S = 5.0


class StatusCommand(operating.OperatorsApiCommand):
    """Show the state of the system."""

    command_definition = definitions.STATUS

    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorsApiCommand`."""
        system_status = await entry_client.status()
        self.print_result(system_status, text.status(system_status))
        return exitstatus.ExitStatus.OK


class AddressesCommand(operating.ErrorMappingCommand):
    """Query the callers' directory of an entry."""

    command_definition = definitions.ADDRESSES

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        url = self.argument("url").rstrip("/") + app.ADDRESSES_PATH
        timeouts = dict.fromkeys(("connect", "write", "read", "pool"), CALL_TIMEOUT_S)
        ca_file = self.option("ca") or self.env.variables.get(definitions.CA_VARIABLE)
        context = ssl.create_default_context(cafile=ca_file or None)
        try:
            with httpcore.ConnectionPool(ssl_context=context) as pool:
                response = pool.request("GET", url, extensions={"timeout": timeouts})
            answer = json.loads(response.content)
            address_lines = [
                f"{each['address']}  {each['availability_zone']}" for each in answer["addresses"]
            ]
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            self.fail(exitstatus.ExitStatus.UNAVAILABLE, f"{url}: {error!r}")
            return exitstatus.ExitStatus.UNAVAILABLE
        except (ValueError, KeyError, TypeError):
            self.fail(
                exitstatus.ExitStatus.ERROR, f"{url}: the response is not a list of addresses"
            )
            return exitstatus.ExitStatus.ERROR
        self.print_result(answer, [*address_lines, f"valid for {answer['keep_s']} s"])
        return exitstatus.ExitStatus.OK
