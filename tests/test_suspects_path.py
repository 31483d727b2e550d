"""A request that crashes model engines, with every process separate."""

import unittest

import trio

from standins import site as sites

MODEL = "drafts"
SERVICES = ({"name": MODEL, "model": "writer", "version": "1", "replicas": 4},)
CRASH_PROMPT = "crash-the-server"


class CrashingRequestTest(unittest.TestCase):
    def test_it_crashes_two_engines_and_is_refused_at_every_entry(self):
        # A caller sends a prompt that ends each engine which runs it, and sends it again at each
        # entry. Real polls find the deaths, real peer streams spread them. Another caller's
        # prompts are answered all the while.
        trio.run(self._crash)

    async def _crash(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "none", 0, 3)
        site.engine_options = ("--warm", "--load-s", "0.1", "--restart-s", "1.5")
        async with sites.running(site):
            document = sites.document_for(site, SERVICES)
            body = {"document": document, "expected": 0}
            await site.operate("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, _all_serve)
            ends = []
            async with trio.open_nursery() as nursery:
                others = []
                nursery.start_soon(self._keep_asking, site, others)
                for each in site.entries * 2:
                    answer = await _chat(each.callers, CRASH_PROMPT)
                    ends.append((answer.status, answer.json()["type"].rpartition(":")[2]))
                nursery.cancel_scope.cancel()
            crashes = [await _crashes(vm.address) for vm in site.vms]
        self.assertEqual({(422, "refused-for-good")}, set(ends[1:]), ends)
        self.assertEqual(2, sum(crashes), crashes)
        self.assertEqual({200}, set(others))

    async def _keep_asking(self, site, statuses):
        while True:
            answer = await _chat(site.entries[1].callers, "Explain the revision.")
            statuses.append(answer.status)
            await trio.sleep(0.1)


def _all_serve(status):
    return any(each["serving"] == 4 for each in status["services"])


async def _chat(address, prompt):
    body = {"model": MODEL, "messages": [{"role": "user", "content": prompt}]}
    return await sites.call("POST", f"http://{address}/v1/chat/completions", body)


async def _crashes(address):
    history = await sites.call("GET", f"http://{address}/standin/history")
    return history.json()["crashes"]
