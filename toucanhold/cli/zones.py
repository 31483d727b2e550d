"""Commands that take availability zones out of service and return them."""

from toucanhold import exitstatus
from toucanhold.cli import definitions, documents, operating, waiting
from toucanhold.operators import client, messages
from toucanhold.output import text


class ZoneOutCommand(operating.OperatorsApiCommand):
    """Take an availability zone out of service."""

    command_definition = definitions.ZONE_OUT

    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorsApiCommand`."""
        zone = self.argument("zone")
        wait_s = self.number_option("wait-s", float)
        for line in text.preview(await entry_client.preview_zones([zone])):
            self.print_progress(line)
        if not self.option("yes") and not self.confirm(
            f"Take availability zone {zone} out of service?", False
        ):
            self.print_progress("nothing was changed")
            return exitstatus.ExitStatus.ERROR
        force = bool(self.option("force"))
        request = messages.ZoneRequest(True, self.option("author"), force)
        answer = await entry_client.set_zone(zone, request)
        status = await documents.report_in_force(self, entry_client, answer, wait_s)
        if wait_s and not await self._wait_drained(entry_client, zone, wait_s):
            status = exitstatus.ExitStatus.TIMEOUT
        return status

    async def _wait_drained(
        self, entry_client: client.OperatorsClient, zone: str, wait_s: float
    ) -> bool:
        final_status = await waiting.wait_for_status(
            self,
            entry_client,
            lambda seen: _running(seen, zone) == 0,
            lambda seen: f"{zone}: {_running(seen, zone)} requests in flight",
            wait_s,
        )
        return final_status is not None


class ZoneInCommand(operating.OperatorsApiCommand):
    """Return an availability zone to service."""

    command_definition = definitions.ZONE_IN

    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorsApiCommand`."""
        wait_s = self.number_option("wait-s", float)
        request = messages.ZoneRequest(False, self.option("author"))
        answer = await entry_client.set_zone(self.argument("zone"), request)
        return await documents.report_in_force(self, entry_client, answer, wait_s)


def _running(seen: messages.StatusAnswer, zone: str) -> int:
    return sum(
        zone_status.running for zone_status in seen.zones if zone_status.availability_zone == zone
    )
