"""Orders on the running path, with every process separate."""

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
LOST = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@contextlib.asynccontextmanager
async def running_site(entries, **options):
    """A site with one plain server and a configuration in force."""
    site = sites.new_site(sites.log_folder(), ("zone-a",), 0, SERVICE, 1, entries)
    site.service_options = ("--warm", *options.get("service", ()))
    async with sites.running(site):
        document = sites.document_for(site, SERVICES)
        body = {"document": document, "expected": 0}
        answer = await site.call_operators("entry-0", "PUT", "document", body)
        assert answer.status == 200, answer.body
        for each in site.entries:
            await site.wait_status(each.entry, _serves)
        yield site


def _serves(status):
    return any(service["serving"] for service in status["services"])


async def publish(site, entry, key, body="release"):
    url = f"http://{site.entry(entry).callers}/services/{SERVICE}/publish"
    return await sites.call("POST", url, body, {"idempotency-key": key})


async def runs(site):
    history = await sites.call("GET", f"http://{site.vms[0].address}/standin/history")
    return [order["key"] for order in history.json()["orders"]]


class OrdersPathTest(unittest.TestCase):
    def test_repeats_platform_outage_and_death(self):
        # A publish is sent, repeated at another entry, and sent with another body. Then the
        # entry that runs one is killed: the repeat elsewhere must not publish it again. Then the
        # key-value service goes away: the refusal must be true.
        trio.run(self._repeats)

    async def _repeats(self):
        async with running_site(3, service=("--run-s", "0.4")) as site:
            first = await publish(site, "entry-0", "one")
            self.assertEqual(200, first.status, first.body)
            with trio.fail_after(5):
                while (again := await publish(site, "entry-1", "one")).status == 409:
                    await trio.sleep(0.05)
            self.assertEqual((200, first.body), (again.status, again.body))
            self.assertEqual("true", again.headers["toucanhold-replayed"])
            other = await publish(site, "entry-1", "one", "another release")
            self.assertEqual((422, "did-not-run"), (other.status, other.json()["outcome"]))
            await self._kill_in_the_middle(site)
            await site.process_group.kill(sites.KEYVALUE_PROCESS)
            refused = await publish(site, "entry-1", "three")
            self.assertEqual((503, "did-not-run"), (refused.status, refused.json()["outcome"]))
            self.assertEqual(["one", "two"], await runs(site))
            await self._order_without_platform(site)

    async def _kill_in_the_middle(self, site):
        async def send():
            with contextlib.suppress(*LOST):
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
        self.assertEqual(["one", "two", key], await runs(site))
