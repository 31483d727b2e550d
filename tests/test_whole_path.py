"""Requests from end to end, with every component as a separate process."""

import unittest

import httpcore
import trio

from standins import site as sites
from tools import demo

SERVICE = "drafts"


class WholePathTest(unittest.TestCase):
    def test_request_is_served_by_a_group_that_the_planner_formed(self):
        trio.run(self._serve_request)

    async def _serve_request(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 2)
        async with sites.running(site):
            document = sites.document_for(site, demo.SERVICES)
            document["rules"]["services"][0]["replicas"] = 2
            body = {"document": document, "expected": 0}
            response = await site.call_operators("entry-1", "PUT", "document", body)
            self.assertEqual(200, response.status, response.body)
            await site.wait_status("entry-0", lambda status: _serving_count(status, SERVICE) == 2)
            preview = await site.call_operators("entry-0", "GET", "preview?without=zone-a")
            self.assertTrue(preview.json()["falls_short"], preview.body)
            response = await self._send_chat(site.entries[0].callers)
            self.assertEqual(200, response.status, response.body)
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"), response.body)
            for each in site.entries:
                self.assertEqual(0, await site.process_group.stop(each.entry))

    async def _send_chat(self, address: str) -> sites.Response:
        body = {
            "model": SERVICE,
            "stream": True,
            "messages": [{"role": "user", "content": "Explain the revision."}],
        }
        return await sites.call("POST", f"http://{address}/v1/chat/completions", body)

    def test_request_before_any_configuration_is_refused_truthfully(self):
        # The entry has started, but has no configuration from the key-value service or a peer. It
        # must respond 503 with the outcome did-not-run and a retry time.
        trio.run(self._refuse_request)

    async def _refuse_request(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            response = await self._send_chat(site.entries[0].callers)
            self.assertEqual(503, response.status)
            self.assertEqual("did-not-run", response.json()["outcome"])
            self.assertIn("retry-after", response.headers)

    def test_nothing_listens_after_the_site_has_ended(self):
        trio.run(self._end_site)

    async def _end_site(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            pass
        with self.assertRaises(httpcore.ConnectError):
            await sites.call("GET", f"http://{site.entries[0].callers}/v1/models")


def _serving_count(status: dict, service: str) -> int:
    counts = {each["service"]: each["serving"] for each in status["services"]}
    return counts.get(service, 0)
