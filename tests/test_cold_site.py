"""Cold engines behind several entries, each a process of its own."""

import unittest

import trio

from standins import site as sites

ENGINES = ("vm-zone-a-0", "vm-zone-a-1", "vm-zone-a-2")


class ColdSiteTest(unittest.TestCase):
    def test_cold_engines_never_fall_over_under_a_flood_of_three_entries(self):
        # Callers flood three entries while every engine is cold and bears one request. An engine
        # that gets a second one falls over and cuts both. One engine is killed and comes back.
        trio.run(self._flood)

    async def _flood(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 3, "lookups", 0, 3)
        site.engine_options = ("--warm-s", "600", "--warm-requests", "100000", "--load-s", "0.1")
        service = {"name": "drafts", "model": "writer", "version": "1", "replicas": 3}
        async with sites.running(site):
            body = {"document": sites.document_for(site, [service]), "expected": 0}
            await site.operate("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, _all_serve)
            statuses = []
            with trio.move_on_after(12):
                async with trio.open_nursery() as nursery:
                    for each in site.entries:
                        for _ in range(4):
                            nursery.start_soon(_keep_asking, each.callers, statuses)
                    await trio.sleep(5)
                    await site.group.kill(ENGINES[0])
                    await trio.sleep(0.5)
                    await site.start_vm(ENGINES[0])
            await trio.sleep(0.5)
            for name in ENGINES:
                answer = await sites.call("GET", f"http://{site.vm(name).address}/standin/history")
                history = answer.json()
                self.assertEqual(0, history["overloads"], name)
                self.assertLessEqual(history["max_running_cold"], 1, name)
        self.assertGreater(statuses.count(200), 10)


def _all_serve(status):
    return any(each["serving"] == len(ENGINES) for each in status["services"])


async def _keep_asking(address, statuses):
    body = {"model": "drafts", "messages": [{"role": "user", "content": "A footnote."}]}
    while True:
        answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
        statuses.append(answer.status)
        await trio.sleep(0.05 if answer.status == 200 else 0.2)
