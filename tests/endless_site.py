"""What answers without end cost an entry of the product's own interface.

``python -m tests.endless_site`` plays each place of an answer at which such bytes may begin.
"""

import argparse
import json
import time

import attrs
import httpcore
import trio

from standins import processes
from standins import site as sites
from tests.platform import endless_answers

KINDS = ("order", "lookup")
SERVICE, SOUND_SERVICE = "releases", "notes"
TIMEOUT_S = 3
SERVICES = [
    {
        "name": name,
        "kind": "plain",
        "importance": 10,
        "non_idempotent": [{"method": "POST", "path": "/publish"}],
    }
    for name in (SERVICE, SOUND_SERVICE)
]


@attrs.define(eq=False, slots=False)
class Site:
    """An entry, plain servers of two services, and endless ones in one of them."""

    site: sites.Site

    async def start(self, place, speed):
        """Start everything."""
        site = self.site
        await site.start_keyvalue()
        self.endless = [vm for vm in site.vms if vm.service == SERVICE][:2]
        self.statistics_address = processes.free_addresses(1)[0]
        ports = [f"{vm.address.rpartition(':')[2]}={vm.vm}" for vm in self.endless]
        statistics_port = self.statistics_address.rpartition(":")[2]
        await site.process_group.start(
            "servers", ["tests.platform.endless_servers", place, speed, statistics_port, *ports]
        )
        for vm in site.vms:
            if vm not in self.endless:
                await site.start_vm(vm.vm)
            await processes.wait_listening(vm.address)
        entry = site.entries[0]
        await site.start_entry(entry.entry)
        await processes.wait_listening(entry.operators)
        body = {"document": sites.document_for(site, SERVICES), "expected": 0}
        await site.call_operators(entry.entry, "PUT", "document", body)
        with trio.fail_after(30):
            while (await self.send("sound"))[0] != 200:
                await trio.sleep(0.1)
        await trio.sleep(3)

    async def send(self, kind, path="1"):
        """Send a request; return its status and how long it took."""
        service = SOUND_SERVICE if kind == "sound" else SERVICE
        headers = {"toucanhold-timeout-s": str(TIMEOUT_S)}
        method, target = "GET", f"/services/{service}/records/{path}"
        if kind == "order":
            method, target = "POST", f"/services/{service}/publish"
            headers["idempotency-key"] = f"k{time.monotonic_ns()}"
        began_s = time.monotonic()
        try:
            with trio.fail_after(2 * TIMEOUT_S):
                url = f"http://{self.site.entries[0].callers}{target}"
                body = {"n": path} if method == "POST" else None
                status = (await sites.call(method, url, body, headers)).status
        except (httpcore.ProtocolError, httpcore.NetworkError, trio.TooSlowError):
            status = 0
        return status, time.monotonic() - began_s

    async def read_statistics(self):
        """Return what the endless servers have sent."""
        host, _, port = self.statistics_address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            return json.loads(b"".join([part async for part in stream]))

    def memory_kb(self):
        """Return the resident memory of each entry."""
        name = self.site.entries[0].entry
        pid = self.site.process_group.pid(name)
        return {name: endless_answers.resident_kb(pid)}


async def play(place, speed, requests=endless_answers.REQUESTS):
    """Play one place of an answer and return the outcome."""
    site = sites.new_site(sites.log_folder(), ("zone-a",), 0, SERVICE, 4, 1)
    more = sites.new_site(sites.log_folder(), ("zone-a",), 0, SOUND_SERVICE, 2, 1).vms
    renamed = tuple(attrs.evolve(vm, vm=f"{vm.vm}-sound") for vm in more)
    site = attrs.evolve(site, vms=(*site.vms, *renamed))
    async with site.process_group:
        running = Site(site)
        await running.start(place, speed)
        return await endless_answers.play(running, KINDS, requests)


def main():
    """Play all places and print a table; return 1 if anything was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    endless_answers.add_options(parser)
    options = parser.parse_args()
    return endless_answers.play_all(
        options, lambda place, speed, number: play(place, speed, options.requests)
    )


if __name__ == "__main__":
    raise SystemExit(main())
