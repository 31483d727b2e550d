"""Tests of the signals in headers of backend servers' answers."""

import unittest

from toucanhold.platform import signals as platform_signals
from toucanhold.registry import signals

UNREADABLE = ("", " ", "nan", "inf", "-1", "1e3", "1_0", "1,5", "٣", "0x2", "9" * 400, "a\tb")


class SignalTest(unittest.TestCase):
    def setUp(self):
        self.decoder = platform_signals.SignalDecoder()

    def _decode(self, *lines, status=200):
        return self.decoder.decode("s1", status, lines)

    def test_a_limit_is_a_decimal_number(self):
        for text, rate_per_s in (("1.1", 1.1), ("12", 12.0), (" 0.25 ", 0.25), ("0", 0.0)):
            with self.subTest(text):
                decoded = self._decode((b"Server-Limit", text.encode()))
                self.assertEqual(signals.Signals(rate_per_s), decoded)

    def test_an_answer_without_the_header_names_no_limit(self):
        self.assertEqual(signals.Signals(), self._decode((b"content-type", b"text/plain")))

    def test_an_unreadable_limit_costs_one_log_line(self):
        """Guards against a garbled limit that fails requests, floods the log or counts as none."""
        with self.assertLogs("toucanhold.platform.signals", "WARNING") as logged:
            for text in UNREADABLE:
                with self.subTest(text):
                    decoded = self._decode((b"server-limit", text.encode()))
                    self.assertEqual(signals.Signals(None, True), decoded)
            self._decode((b"server-limit", b"\xff\xfe"))
        self.assertEqual(1, len(logged.records))

    def test_a_refusal_may_ask_for_a_backoff(self):
        line = (b"retry-after", b"2.5")
        self.assertEqual(signals.Signals(backoff_s=2.5), self._decode(line, status=503))
        self.assertEqual(signals.Signals(), self._decode(line, status=200))

    def test_unreadable_backoffs_cost_one_log_line(self):
        """Guards against a garbled backoff that idles a server or floods the log."""
        with self.assertLogs("toucanhold.platform.signals", "WARNING") as logged:
            for text in (*UNREADABLE, "99999999", "Fri, 31 Dec 1999 23:59:59 GMT"):
                with self.subTest(text):
                    decoded = self._decode((b"retry-after", text.encode()), status=503)
                    self.assertEqual(signals.Signals(), decoded)
        self.assertEqual(1, len(logged.records))

    def test_a_server_may_say_that_it_is_draining(self):
        self.assertEqual(signals.Signals(is_leaving=True), self._decode((b"Server-Leaving", b"1")))

    def test_unreadable_draining_flags_cost_one_log_line(self):
        """Guards against a garbled flag that takes a server out of service."""
        with self.assertLogs("toucanhold.platform.signals", "WARNING") as logged:
            for text in ("", "0", "yes", "11"):
                with self.subTest(text):
                    decoded = self._decode((b"server-leaving", text.encode()))
                    self.assertEqual(signals.Signals(), decoded)
        self.assertEqual(1, len(logged.records))
