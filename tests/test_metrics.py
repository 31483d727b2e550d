"""Metrics in the text form that scrapers read."""

import unittest

import trio
import trio.testing

from standins import site as sites
from toucanhold import metrics
from toucanhold.callers import measuring


class MetricsTest(unittest.TestCase):
    def test_a_stream_is_timed_from_its_events(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._time_a_stream, clock=clock)

    async def _time_a_stream(self):
        async def ignore(message):
            pass

        measured = metrics.Metrics("entry-0")
        timed = measuring.TimedSend(ignore, measured.new_timer("POST", "/v1/chat/completions"))
        await trio.sleep(0.3)
        headers = [(b"content-type", b"text/event-stream")]
        await timed({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(5):
            await timed(_body(b"data: {}\n\n", True))
            await trio.sleep(0.04)
        await timed(_body(b"", False))
        timed.finish()
        text = measured.exposition().decode()
        self.assertIn(
            'first_token_seconds_bucket{http_route="/v1/chat/completions",le="0.4"} 1', text
        )
        self.assertIn('toucanhold_answer="complete"', text)

    def test_two_entries_in_one_process_do_not_mix(self):
        first, second = metrics.Metrics("entry-0"), metrics.Metrics("entry-1")
        first.add_gauge("toucanhold.test", "1", "a test", lambda: [(7, {})])
        self.assertIn(b"toucanhold_test 7.0", first.exposition())
        self.assertNotIn(b"toucanhold_test", second.exposition())

    def test_an_entry_exposes_its_state_to_operators_only(self):
        trio.run(self._scrape)

    async def _scrape(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            url = f"http://{site.entries[0].operators}/metrics"
            self.assertEqual(401, (await sites.call("GET", url)).status)
            token = {"authorization": f"Bearer {sites.OPERATOR_TOKEN}"}
            answer = await sites.call("GET", url, headers=token)
            self.assertEqual(200, answer.status)
            self.assertIn(b"toucanhold_configuration_number", answer.body)
            self.assertIn(b'toucanhold_platform_calls_total{toucanhold_call="read"}', answer.body)


def _body(data: bytes, more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": more}
