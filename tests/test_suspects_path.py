"""Tests a request that crashes model engines, with separate processes."""

import unittest

import trio

from standins import site as sites

MODEL = "drafts"
SERVICES = ({"name": MODEL, "model": "writer", "version": "1", "replicas": 4},)
CRASH_PROMPT = "crash-the-server"


class CrashingRequestTest(unittest.TestCase):
    def test_it_crashes_two_engines_and_is_refused_at_every_entry(self):
        # A caller sends a prompt that crashes every engine that runs it to each entry. Entries
        # detect the crashes by polling and share them over peer streams. Another caller's prompts
        # are answered throughout.
        trio.run(self._crash)

    async def _crash(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "none", 0, 3)
        site.engine_options = ("--warm", "--load-s", "0.1", "--restart-s", "1.5")
        async with sites.running(site):
            document = sites.document_for(site, SERVICES)
            body = {"document": document, "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, _all_are_serving)
            outcomes = []
            async with trio.open_nursery() as nursery:
                others = []
                nursery.start_soon(self._send_repeatedly, site, others)
                for each in site.entries * 2:
                    answer = await _chat(each.callers, CRASH_PROMPT)
                    outcomes.append((answer.status, answer.json()["type"].rpartition(":")[2]))
                nursery.cancel_scope.cancel()
            crashes = [await _crashes(vm.address) for vm in site.vms]
        self.assertEqual({(422, "refused-for-good")}, set(outcomes[1:]), outcomes)
        self.assertEqual(2, sum(crashes), crashes)
        self.assertEqual({200}, set(others))

    async def _send_repeatedly(self, site, statuses):
        while True:
            answer = await _chat(site.entries[1].callers, "Explain the revision.")
            statuses.append(answer.status)
            await trio.sleep(0.1)


def _all_are_serving(status):
    return any(each["serving"] == 4 for each in status["services"])


async def _chat(address, prompt):
    body = {"model": MODEL, "messages": [{"role": "user", "content": prompt}]}
    return await sites.call("POST", f"http://{address}/v1/chat/completions", body)


async def _crashes(address):
    history = await sites.call("GET", f"http://{address}/standin/history")
    return history.json()["crashes"]
