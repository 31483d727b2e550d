"""Entries are replaced one after another under load, and no caller notices."""

import random
import unittest

import httpcore
import trio

from standins import site as sites

PLAIN = "releases"
MODEL = "drafts"
SERVICES = (
    {"name": MODEL, "model": "writer", "version": "1", "replicas": 2, "importance": 5},
    {
        "name": PLAIN,
        "kind": "plain",
        "slots": 64,
        "non_idempotent": [{"method": "POST", "path": "/publish"}],
    },
)
LONG_STREAM_TOKENS = 300


class Caller:
    """Asks the directory, keeps the answer as long as it may, and notes what goes wrong."""

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.addresses, self.until_s = [], 0.0
        self.answered, self.failures, self.orders = 0, [], []

    async def run(self):
        while True:
            await self.send_one()
            await trio.sleep(self.rng.uniform(0.0, 0.05))

    async def send_one(self):
        kind = self.rng.choice(("chat", "lookup", "order"))
        try:
            address = await self.address()
            answer = await getattr(self, kind)(address)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            self.failures.append((kind, repr(error)))
            return
        if answer.status != 200:
            self.failures.append((kind, answer.status, answer.body))
        self.answered += 1

    async def address(self):
        if trio.current_time() >= self.until_s:
            await self.ask()
        return self.addresses[0]

    async def ask(self):
        asked_at_s = trio.current_time()
        for known in self.addresses + [each.callers for each in self.site.entries]:
            try:
                answer = await sites.call("GET", f"http://{known}/toucanhold/v1/addresses")
            except httpcore.ConnectError:
                continue
            if answer.status == 200:
                break
        found = answer.json()
        self.addresses = [each["address"] for each in found["addresses"]]
        self.until_s = asked_at_s + found["keep_s"]

    async def chat(self, address):
        body = {"model": MODEL, "messages": [{"role": "user", "content": "Explain."}]}
        return await sites.call("POST", f"http://{address}/v1/chat/completions", body)

    async def lookup(self, address):
        return await sites.call("GET", f"http://{address}/services/{PLAIN}/records/7")

    async def order(self, address):
        key = f"order-{self.rng.random()}"
        self.orders.append(key)
        url = f"http://{address}/services/{PLAIN}/publish"
        return await sites.call("POST", url, "release", {"idempotency-key": key})


class PlannedStopTest(unittest.TestCase):
    def test_entries_replaced_one_after_another_lose_nothing(self):
        # Three entries are stopped and started anew in turn, while callers go on by the
        # directory's word, and while a long stream runs on each. Each stop is asked for twice,
        # as by an impatient operator. No request is lost, cut, refused or run twice.
        trio.run(self._replace_all)

    async def _replace_all(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 2, PLAIN, 1, 3)
        site.engine_options = ("--warm", "--load-s", "0.1", "--slots", "64")
        site.service_options = ("--warm", "--slots", "64")
        callers = [Caller(site, seed) for seed in range(4)]
        async with sites.running(site):
            document = sites.document_for(site, SERVICES)
            body = {"document": document, "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, _all_serve)
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.run)
                for each in site.entries:
                    await self._replace(site, each)
                nursery.cancel_scope.cancel()
            history = await sites.call("GET", f"http://{site.vms[-1].address}/standin/history")
        self.assertEqual([], [failure for caller in callers for failure in caller.failures])
        self.assertGreater(sum(caller.answered for caller in callers), 100)
        ran = [order["key"] for order in history.json()["orders"]]
        self.assertEqual(len(ran), len(set(ran)))

    async def _replace(self, site, entry):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._long_stream, entry.callers)
            await trio.sleep(0.3)
            site.process_group.terminate(entry.entry)
            await trio.sleep(0.2)
            self.assertEqual(0, await site.process_group.stop(entry.entry))
        await site.start_entry(entry.entry)
        await site.wait_status(entry.entry, _all_serve)

    async def _long_stream(self, address):
        body = {
            "model": MODEL,
            "stream": True,
            "max_tokens": LONG_STREAM_TOKENS,
            "messages": [{"role": "user", "content": "Explain at length."}],
        }
        answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
        self.assertEqual(200, answer.status, answer.body)
        self.assertIn(b"data: [DONE]", answer.body)
        self.assertEqual(LONG_STREAM_TOKENS, answer.body.count(b"\nid: ") + 1)


def _all_serve(status):
    return bool(status["services"]) and all(each["serving"] for each in status["services"])
