"""Records in the key-value service that nobody can read."""

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
BODIES = (b"{", b"\xff\xfe", b"[]", b'{"number": "x"}', b"null")


class PoisonedRecordTest(unittest.TestCase):
    def test_entries_go_on_serving_beside_records_that_nobody_can_read(self):
        # The callers see nothing. Somebody's script writes rubbish over records of the system. An
        # entry that ended, or whose tasks ended, at the first unreadable record would take all
        # entries with it, since each reads the same one.
        trio.run(self._poison)

    async def _poison(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 1, 2)
        async with sites.running(site):
            body = {"document": sites.document_for(site, demo.SERVICES), "expected": 0}
            await site.operate("entry-0", "PUT", "document", body)
            for each in site.entries:
                await site.wait_status(each.entry, lambda seen: seen["services"] != [])
                await site.wait_status(each.entry, lambda seen: seen["services"][0]["serving"] == 2)
            for value in BODIES:
                for key in KEYS:
                    await self._put(site, key, value)
                await trio.sleep(0.3)
            for each in site.entries:
                self.assertTrue(site.group.is_running(each.entry), site.group.log_text(each.entry))
                answer = await self._chat(each.callers)
                self.assertEqual(200, answer.status, answer.body)
                status = await site.status(each.entry)
                self.assertEqual(1, status["configuration"])

    async def _put(self, site: sites.Site, key: str, value: bytes):
        body = {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
        url = f"http://{site.keyvalue_address}/v3/kv/put"
        self.assertEqual(200, (await sites.call("POST", url, body)).status)

    async def _chat(self, address: str) -> sites.Response:
        body = {"model": demo.MODEL_SERVICE, "messages": [{"role": "user", "content": "Explain."}]}
        return await sites.call("POST", f"http://{address}/v1/chat/completions", body)
