"""Commands that take availability zones out and return them."""

from toucanhold import exitstatus
from toucanhold.cli import definitions, documents, operating, waiting
from toucanhold.operators import client, messages
from toucanhold.output import text


class ZoneOutCommand(operating.OperatorCommand):
    """Take an availability zone out."""

    shown = definitions.ZONE_OUT

    async def call_entry(self, entry: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorCommand`."""
        zone = self.argument("zone")
        wait_s = self.number_option("wait-s", float)
        for line in text.preview(await entry.preview_zones([zone])):
            self.progress(line)
        if not self.option("yes") and not self.confirm(f"Take {zone} out?", False):
            self.progress("nothing was changed")
            return exitstatus.ExitStatus.ERROR
        force = bool(self.option("force"))
        request = messages.ZoneRequest(True, self.option("author"), force)
        answer = await entry.set_zone(zone, request)
        status = await documents.show_in_force(self, entry, answer, wait_s)
        if wait_s and not await self._wait_drained(entry, zone, wait_s):
            status = exitstatus.ExitStatus.TIMEOUT
        return status

    async def _wait_drained(self, entry: client.OperatorsClient, zone: str, wait_s: float) -> bool:
        done = await waiting.wait_until(
            self,
            entry,
            lambda seen: _running(seen, zone) == 0,
            lambda seen: f"{zone}: {_running(seen, zone)} requests in flight",
            wait_s,
        )
        return done is not None


class ZoneInCommand(operating.OperatorCommand):
    """Return an availability zone."""

    shown = definitions.ZONE_IN

    async def call_entry(self, entry: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorCommand`."""
        wait_s = self.number_option("wait-s", float)
        request = messages.ZoneRequest(False, self.option("author"))
        answer = await entry.set_zone(self.argument("zone"), request)
        return await documents.show_in_force(self, entry, answer, wait_s)


def _running(seen: messages.StatusAnswer, zone: str) -> int:
    return sum(each.running for each in seen.zones if each.availability_zone == zone)
