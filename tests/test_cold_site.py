"""Tests cold engines behind several entries, each in its own process."""

import unittest

import trio

from standins import site as sites

ENGINES = ("vm-zone-a-0", "vm-zone-a-1", "vm-zone-a-2")


class ColdSiteTest(unittest.TestCase):
    def test_cold_engines_are_not_overloaded_by_three_entries(self):
        # Callers flood three entries while every engine is cold and can run one request. An engine
        # that gets a second one is overloaded and breaks both connections. One engine is killed
        # and restarted.
        trio.run(self._flood)

    async def _flood(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 3, "lookups", 0, 3)
        site.engine_options = ("--warm-s", "600", "--warm-requests", "100000", "--load-s", "0.1")
        service = {"name": "drafts", "model": "writer", "version": "1", "replicas": 3}
        async with sites.running(site):
            body = {"document": sites.document_for(site, [service]), "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, _all_are_serving)
            statuses = []
            with trio.move_on_after(12):
                async with trio.open_nursery() as nursery:
                    for each in site.entries:
                        for _ in range(4):
                            nursery.start_soon(_send_repeatedly, each.callers, statuses)
                    await trio.sleep(5)
                    await site.process_group.kill(ENGINES[0])
                    await trio.sleep(0.5)
                    await site.start_vm(ENGINES[0])
            await trio.sleep(0.5)
            for name in ENGINES:
                answer = await sites.call("GET", f"http://{site.vm(name).address}/standin/history")
                history = answer.json()
                self.assertEqual(0, history["overloads"], name)
                self.assertLessEqual(history["max_running_cold"], 1, name)
        self.assertGreater(statuses.count(200), 10)


def _all_are_serving(status):
    return any(each["serving"] == len(ENGINES) for each in status["services"])


async def _send_repeatedly(address, statuses):
    body = {"model": "drafts", "messages": [{"role": "user", "content": "A footnote."}]}
    while True:
        answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
        statuses.append(answer.status)
        await trio.sleep(0.05 if answer.status == 200 else 0.2)
