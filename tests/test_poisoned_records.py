"""Unreadable records in the key-value service."""

import base64
import unittest

import trio

from standins import site as sites
from tools import demo

KEYS = (
    "toucanhold/configuration/head",
    "toucanhold/configuration/part/rules",
    "toucanhold/configuration/part/unknown",
    "toucanhold/plan/fabric-zone-a",
    "toucanhold/plan/unknown",
    "toucanhold/entries/entry-9",
    "toucanhold/planner-terms",
    "toucanhold/cold-slots/256/0001",
    "toucanhold/cold-slots/256/none",
)
INVALID_VALUES = (b"{", b"\xff\xfe", b"[]", b'{"number": "x"}', b"null")


class PoisonedRecordTest(unittest.TestCase):
    def test_entries_keep_serving_with_unreadable_records(self):
        # Guards against an outage of all entries after a script overwrites records of the system.
        # All entries read the same records, so if one exits, or ends a task, at the first
        # unreadable record, all do. Callers must notice nothing.
        trio.run(self._serve_with_invalid_records)

    async def _serve_with_invalid_records(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 2)
        async with sites.running(site):
            body = {"document": sites.document_for(site, demo.SERVICES), "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            for entry in site.entries:
                await site.wait_status(entry.entry, lambda current: current["services"] != [])
                await site.wait_status(
                    entry.entry, lambda current: current["services"][0]["serving"] == 2
                )
            for value in INVALID_VALUES:
                for key in KEYS:
                    await self._put_record(site, key, value)
                await trio.sleep(0.3)
            for entry in site.entries:
                self.assertTrue(
                    site.process_group.is_running(entry.entry),
                    site.process_group.log_text(entry.entry),
                )
                response = await self._send_chat(entry.callers)
                self.assertEqual(200, response.status, response.body)
                status = await site.status(entry.entry)
                self.assertEqual(1, status["configuration"])

    async def _put_record(self, site: sites.Site, key: str, value: bytes):
        body = {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
        url = f"http://{site.keyvalue_address}/v3/kv/put"
        self.assertEqual(200, (await sites.call("POST", url, body)).status)

    async def _send_chat(self, address: str) -> sites.Response:
        body = {"model": demo.MODEL_SERVICE, "messages": [{"role": "user", "content": "Explain."}]}
        return await sites.call("POST", f"http://{address}/v1/chat/completions", body)
