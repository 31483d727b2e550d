"""The metrics of an entry in the Prometheus text format."""

import unittest

import trio
import trio.testing

from standins import site as sites
from toucanhold import metrics
from toucanhold.callers import measuring


class MetricsTest(unittest.TestCase):
    def test_first_token_time_is_measured_from_stream_events(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._measure_stream, clock=clock)

    async def _measure_stream(self):
        async def discard(message):
            pass

        entry_metrics = metrics.Metrics("entry-0")
        timed_send = measuring.TimedSend(
            discard, entry_metrics.new_timer("POST", "/v1/chat/completions")
        )
        await trio.sleep(0.3)
        headers = [(b"content-type", b"text/event-stream")]
        await timed_send({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(5):
            await timed_send(_body(b"data: {}\n\n", True))
            await trio.sleep(0.04)
        await timed_send(_body(b"", False))
        timed_send.finish()
        text = entry_metrics.exposition().decode()
        self.assertIn(
            'first_token_seconds_bucket{http_route="/v1/chat/completions",le="0.4"} 1', text
        )
        self.assertIn('toucanhold_answer="complete"', text)

    def test_entries_in_one_process_have_separate_registries(self):
        first, second = metrics.Metrics("entry-0"), metrics.Metrics("entry-1")
        first.add_gauge("toucanhold.test", "1", "a test", lambda: [(7, {})])
        self.assertIn(b"toucanhold_test 7.0", first.exposition())
        self.assertNotIn(b"toucanhold_test", second.exposition())

    def test_metrics_endpoint_requires_an_operator_token(self):
        trio.run(self._check_scrape)

    async def _check_scrape(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        async with sites.running(site):
            url = f"http://{site.entries[0].operators}/metrics"
            self.assertEqual(401, (await sites.call("GET", url)).status)
            token = {"authorization": f"Bearer {sites.OPERATOR_TOKEN}"}
            answer = await sites.call("GET", url, headers=token)
            self.assertEqual(200, answer.status)
            self.assertIn(b"toucanhold_configuration_number", answer.body)
            self.assertIn(b'toucanhold_platform_calls_total{toucanhold_call="read"}', answer.body)


def _body(data: bytes, more_body: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": more_body}
