"""Failures of real processes: killed and paused entries, an outage of the key-value service."""

import unittest

import trio

from standins import site as sites
from tools import demo

STREAM = {
    "model": "drafts",
    "stream": True,
    "max_tokens": 100,
    "messages": [{"role": "user", "content": "Explain the revision."}],
}
LOOKUP = "services/releases/records/7"


class ProcessesTest(unittest.TestCase):
    def _run(self, drive):
        async def run():
            site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 3)
            site.engine_options = ("--warm", "--load-s", "0.2", "--token-s", "0.02")
            site.service_options = ("--warm",)
            async with sites.running(site):
                document = sites.document_for(site, demo.SERVICES)
                document["rules"]["services"][0]["replicas"] = 2
                body = {"document": document, "expected": 0}
                answer = await site.call_operators("entry-0", "PUT", "document", body)
                self.assertEqual(200, answer.status, answer.body)
                for each in site.entries:
                    await site.wait_status(each.entry, _all_serve)
                await drive(site)

        trio.run(run)

    def test_killed_entry_cuts_only_its_own_streams(self):
        # The caller of a stream at the killed entry sees a broken connection, never a clean end;
        # a caller elsewhere gets a whole answer. The entry dies by SIGKILL while it streams; a
        # new process in its place serves, since entries keep nothing.
        self._run(self._kill_entry)

    async def _kill_entry(self, site: sites.Site) -> None:
        ends: dict[str, object] = {}
        async with trio.open_nursery() as nursery:
            for name in ("entry-1", "entry-2"):
                nursery.start_soon(_stream, site, name, ends)
            await trio.sleep(1)
            await site.process_group.kill("entry-1")
        self.assertIsInstance(ends["entry-1"], Exception)
        self.assertTrue(ends["entry-2"].body.endswith(b"data: [DONE]\n\n"))
        await site.start_entry("entry-1")
        await site.wait_status("entry-1", _all_serve)

    def test_paused_entry_learns_of_the_take_out_before_it_works(self):
        # Callers at the resumed entry are answered, none from the zone that is out. The entry is
        # stopped by SIGSTOP, zone-a is taken out meanwhile, and a request waits in its socket.
        # After SIGCONT the request is there before the news; the entry asks for the news first.
        self._run(self._pause_entry)

    async def _pause_entry(self, site: sites.Site) -> None:
        answers = []

        async def look_up() -> None:
            url = f"http://{site.entry('entry-1').callers}/{LOOKUP}"
            answers.append(await sites.call("GET", url))

        async with trio.open_nursery() as nursery:
            site.process_group.pause("entry-1")
            for _ in range(4):
                nursery.start_soon(look_up)
            out = {"out": True}
            answer = await site.call_operators("entry-0", "PUT", "availability-zones/zone-a", out)
            self.assertEqual(200, answer.status, answer.body)
            await trio.sleep(6)
            site.process_group.resume("entry-1")
        self.assertEqual(4, len(answers))
        for answer in answers:
            if answer.status == 200:
                self.assertEqual("svc-zone-b-0", answer.json()["vm"])
            else:
                self.assertEqual("did-not-run", answer.json()["outcome"])

    def test_outage_of_the_platform_stops_no_lookup_or_chat(self):
        # Callers see answers all through, and an order is refused with the truth that it did not
        # run. The key-value service is down for six seconds; claims cannot be made then.
        self._run(self._outage)

    async def _outage(self, site: sites.Site) -> None:
        faults = f"http://{site.keyvalue_address}/standin/faults"
        callers = f"http://{site.entry('entry-2').callers}"
        await sites.call("POST", faults, {"mode": "down"})
        await trio.sleep(3)
        self.assertEqual(200, (await sites.call("GET", f"{callers}/{LOOKUP}")).status)
        answer = await sites.call("POST", f"{callers}/v1/chat/completions", STREAM)
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-300:])
        key = {"idempotency-key": "outage-1"}
        order = f"{callers}/services/releases/publish"
        refused = await sites.call("POST", order, {"release": 7}, key)
        self.assertEqual("did-not-run", refused.json()["outcome"])
        await sites.call("POST", faults, {"mode": "up"})
        with trio.fail_after(20):
            while (await sites.call("POST", order, {"release": 7}, key)).status != 200:
                await trio.sleep(0.5)
        self.assertEqual(1, await _orders_run(site))


def _all_serve(status: dict) -> bool:
    services = status["services"]
    return bool(services) and all(each["serving"] >= each["wanted"] for each in services)


async def _stream(site: sites.Site, name: str, ends: dict) -> None:
    url = f"http://{site.entry(name).callers}/v1/chat/completions"
    try:
        ends[name] = await sites.call("POST", url, STREAM)
    except Exception as error:
        ends[name] = error


async def _orders_run(site: sites.Site) -> int:
    urls = [f"http://{vm.address}/standin/history" for vm in site.vms if vm.service]
    return sum([len((await sites.call("GET", url)).json()["orders"]) for url in urls])
