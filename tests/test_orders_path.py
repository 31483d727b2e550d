"""Orders run at most once in a site of separate processes."""

import contextlib
import unittest

import httpcore
import trio

from standins import site as sites

SERVICE = "releases"
SERVICES = (
    {
        "name": SERVICE,
        "kind": "plain",
        "non_idempotent": [{"method": "POST", "path": "/publish"}],
    },
)
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@contextlib.asynccontextmanager
async def running_site(entries, **options):
    """Run a site with one plain backend server until its entries serve the configuration."""
    site = sites.new_site(sites.log_folder(), ("zone-a",), 0, SERVICE, 1, entries)
    site.service_options = ("--warm", *options.get("service", ()))
    async with sites.running(site):
        document = sites.document_for(site, SERVICES)
        body = {"document": document, "expected": 0}
        answer = await site.call_operators("entry-0", "PUT", "document", body)
        assert answer.status == 200, answer.body
        for entry in site.entries:
            await site.wait_status(entry.entry, _is_serving)
        yield site


def _is_serving(status):
    return any(service["serving"] for service in status["services"])


async def publish(site, entry, key, body="release"):
    url = f"http://{site.entry(entry).callers}/services/{SERVICE}/publish"
    return await sites.call("POST", url, body, {"idempotency-key": key})


async def run_keys(site):
    history = await sites.call("GET", f"http://{site.vms[0].address}/standin/history")
    return [order["key"] for order in history.json()["orders"]]


class OrdersPathTest(unittest.TestCase):
    def test_repeats_entry_crash_and_platform_outage(self):
        # An order is sent, repeated at another entry, and sent with another body. Then an entry is
        # killed while it runs an order: the repeat at another entry must not run it again. Then
        # the key-value service is killed: an order refused as "did not run" must not have run.
        trio.run(self._repeats)

    async def _repeats(self):
        async with running_site(3, service=("--run-s", "0.4")) as site:
            first = await publish(site, "entry-0", "one")
            self.assertEqual(200, first.status, first.body)
            with trio.fail_after(5):
                while (repeat := await publish(site, "entry-1", "one")).status == 409:
                    await trio.sleep(0.05)
            self.assertEqual((200, first.body), (repeat.status, repeat.body))
            self.assertEqual("true", repeat.headers["toucanhold-replayed"])
            other = await publish(site, "entry-1", "one", "another release")
            self.assertEqual((422, "did-not-run"), (other.status, other.json()["outcome"]))
            await self._kill_during_an_order(site)
            await site.process_group.kill(sites.KEYVALUE_PROCESS)
            refused = await publish(site, "entry-1", "three")
            self.assertEqual((503, "did-not-run"), (refused.status, refused.json()["outcome"]))
            self.assertEqual(["one", "two"], await run_keys(site))
            await self._order_without_platform(site)

    async def _kill_during_an_order(self, site):
        async def send():
            with contextlib.suppress(*CONNECTION_ERRORS):
                await publish(site, "entry-0", "two")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.2)
            await site.process_group.kill("entry-0")
        await trio.sleep(0.5)
        repeat = await publish(site, "entry-1", "two")
        self.assertEqual("unknown", repeat.json()["outcome"])

    async def _order_without_platform(self, site):
        url = f"http://{site.entry('entry-1').callers}/toucanhold/v1/order-keys"
        issued = await sites.call("POST", url, {"count": 2})
        self.assertEqual(201, issued.status, issued.body)
        key = issued.json()["order_keys"][0]
        answers = [await publish(site, "entry-1", key) for _ in range(3)]
        self.assertEqual([200] * 3, [answer.status for answer in answers], answers[0].body)
        self.assertEqual(["one", "two", key], await run_keys(site))
