"""The whole path with every process separate."""

import unittest

import httpcore
import trio

from standins import site as sites
from tools import demo

SERVICE = "drafts"


class WholePathTest(unittest.TestCase):
    def test_request_is_served_by_a_group_that_the_planner_formed(self):
        trio.run(self._serve_one)

    async def _serve_one(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 2)
        async with sites.running(site):
            document = sites.document_for(site, demo.SERVICES)
            document["rules"]["services"][0]["replicas"] = 2
            body = {"document": document, "expected": 0}
            answer = await site.call_operators("entry-1", "PUT", "document", body)
            self.assertEqual(200, answer.status, answer.body)
            await site.wait_status("entry-0", lambda seen: _serving(seen, SERVICE) == 2)
            seen = await site.call_operators("entry-0", "GET", "preview?without=zone-a")
            self.assertTrue(seen.json()["falls_short"], seen.body)
            answer = await self._chat(site.entries[0].callers)
            self.assertEqual(200, answer.status, answer.body)
            self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"), answer.body)
            for each in site.entries:
                self.assertEqual(0, await site.process_group.stop(each.entry))

    async def _chat(self, address: str) -> sites.Response:
        body = {
            "model": SERVICE,
            "stream": True,
            "messages": [{"role": "user", "content": "Explain the revision."}],
        }
        return await sites.call("POST", f"http://{address}/v1/chat/completions", body)

    def test_request_before_any_configuration_is_refused_truthfully(self):
        # The caller sees 503 with the outcome did-not-run and a time to come back. The entry has
        # started, but neither the key-value service nor a peer has given it a configuration.
        trio.run(self._refuse_one)

    async def _refuse_one(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            answer = await self._chat(site.entries[0].callers)
            self.assertEqual(503, answer.status)
            self.assertEqual("did-not-run", answer.json()["outcome"])
            self.assertIn("retry-after", answer.headers)

    def test_nothing_listens_after_the_site_has_ended(self):
        trio.run(self._end)

    async def _end(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            pass
        with self.assertRaises(httpcore.ConnectError):
            await sites.call("GET", f"http://{site.entries[0].callers}/v1/models")


def _serving(status: dict, service: str) -> int:
    counts = {each["service"]: each["serving"] for each in status["services"]}
    return counts.get(service, 0)
