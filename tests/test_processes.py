"""Killed and paused entry processes, and an outage of the key-value service."""

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
    def _run_with_site(self, check):
        async def run():
            site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 3)
            site.engine_options = ("--warm", "--load-s", "0.2", "--token-s", "0.02")
            site.service_options = ("--warm",)
            async with sites.running(site):
                document = sites.document_for(site, demo.SERVICES)
                document["rules"]["services"][0]["replicas"] = 2
                body = {"document": document, "expected": 0}
                response = await site.call_operators("entry-0", "PUT", "document", body)
                self.assertEqual(200, response.status, response.body)
                for entry in site.entries:
                    await site.wait_status(entry.entry, _is_all_serving)
                await check(site)

        trio.run(run)

    def test_killed_entry_cuts_only_its_own_streams(self):
        # Guards against a truncated stream that ends cleanly. The entry is killed by SIGKILL while
        # it streams; its caller must see a broken connection, and a caller at another entry a
        # complete response. A new process serves at once, since entries store nothing.
        self._run_with_site(self._kill_entry)

    async def _kill_entry(self, site: sites.Site) -> None:
        results: dict[str, object] = {}
        async with trio.open_nursery() as nursery:
            for name in ("entry-1", "entry-2"):
                nursery.start_soon(_send_stream, site, name, results)
            await trio.sleep(1)
            await site.process_group.kill("entry-1")
        self.assertIsInstance(results["entry-1"], Exception)
        self.assertTrue(results["entry-2"].body.endswith(b"data: [DONE]\n\n"))
        await site.start_entry("entry-1")
        await site.wait_status("entry-1", _is_all_serving)

    def test_paused_entry_applies_the_take_out_before_it_serves(self):
        # Guards against work in a zone that was taken out while the entry was paused. The entry is
        # paused by SIGSTOP, zone-a is taken out, and requests wait in its socket. After SIGCONT
        # the requests arrive before the update, so the entry must request the update first.
        self._run_with_site(self._pause_entry)

    async def _pause_entry(self, site: sites.Site) -> None:
        responses = []

        async def send_lookup() -> None:
            url = f"http://{site.entry('entry-1').callers}/{LOOKUP}"
            responses.append(await sites.call("GET", url))

        async with trio.open_nursery() as nursery:
            site.process_group.pause("entry-1")
            for _ in range(4):
                nursery.start_soon(send_lookup)
            out = {"out": True}
            response = await site.call_operators("entry-0", "PUT", "availability-zones/zone-a", out)
            self.assertEqual(200, response.status, response.body)
            await trio.sleep(6)
            site.process_group.resume("entry-1")
        self.assertEqual(4, len(responses))
        for response in responses:
            if response.status == 200:
                self.assertEqual("svc-zone-b-0", response.json()["vm"])
            else:
                self.assertEqual("did-not-run", response.json()["outcome"])

    def test_platform_outage_does_not_interrupt_lookups_or_chats(self):
        # Guards against failed lookups and chats, and against a false refusal of an order, while
        # the key-value service is down. Orders cannot be claimed then, so they are refused as
        # did-not-run.
        self._run_with_site(self._outage)

    async def _outage(self, site: sites.Site) -> None:
        faults_url = f"http://{site.keyvalue_address}/standin/faults"
        callers_url = f"http://{site.entry('entry-2').callers}"
        await sites.call("POST", faults_url, {"mode": "down"})
        await trio.sleep(3)
        self.assertEqual(200, (await sites.call("GET", f"{callers_url}/{LOOKUP}")).status)
        response = await sites.call("POST", f"{callers_url}/v1/chat/completions", STREAM)
        self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"), response.body[-300:])
        headers = {"idempotency-key": "outage-1"}
        order_url = f"{callers_url}/services/releases/publish"
        refusal = await sites.call("POST", order_url, {"release": 7}, headers)
        self.assertEqual("did-not-run", refusal.json()["outcome"])
        await sites.call("POST", faults_url, {"mode": "up"})
        with trio.fail_after(20):
            while (await sites.call("POST", order_url, {"release": 7}, headers)).status != 200:
                await trio.sleep(0.5)
        self.assertEqual(1, await _count_order_runs(site))


def _is_all_serving(status: dict) -> bool:
    services = status["services"]
    return bool(services) and all(service["serving"] >= service["wanted"] for service in services)


async def _send_stream(site: sites.Site, name: str, results: dict) -> None:
    url = f"http://{site.entry(name).callers}/v1/chat/completions"
    try:
        results[name] = await sites.call("POST", url, STREAM)
    except Exception as error:
        results[name] = error


async def _count_order_runs(site: sites.Site) -> int:
    urls = [f"http://{vm.address}/standin/history" for vm in site.vms if vm.service]
    return sum([len((await sites.call("GET", url)).json()["orders"]) for url in urls])
