"""Tests of the bounded log handler: it limits the number of lines and never blocks."""

import json
import logging
import os
import time
import unittest

from toucanhold import events, logs


class BoundedTest(unittest.TestCase):
    def setUp(self):
        read_end, write_end = os.pipe()
        self.reader = os.fdopen(read_end)
        self.writer = os.fdopen(write_end, "w")
        self.logger = logging.getLogger("toucanhold.test.bounded")
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)

    def _handler(self, **options):
        handler = logs.BoundedHandler(self.writer, **options)
        handler.setFormatter(logs.JsonFormatter())
        self.logger.handlers[:] = [handler]
        logs.LOGGER.handlers[:] = [handler]
        return handler

    def tearDown(self):
        self.logger.handlers.clear()
        logs.LOGGER.handlers.clear()
        self.reader.close()

    def test_stalled_log_reader_does_not_block_logging(self):
        """Guards against requests that wait until the reader of the log reads on."""
        handler = self._handler(max_lines_per_s=1e9, max_queued_lines=100)
        started_at_s = time.monotonic()
        for number in range(5000):
            events.log(self.logger, events.Event.SERVER_GONE, server="s" * 100, number=number)
        self.assertLess(time.monotonic() - started_at_s, 5)
        self.assertGreater(handler.dropped, 3000)

    def test_excess_lines_are_dropped_and_counted(self):
        handler = self._handler(max_lines_per_s=50)
        for number in range(500):
            events.log(self.logger, events.Event.SERVER_GONE, server="s", number=number)
        self.assertGreater(handler.dropped, 400)
        time.sleep(0.3)
        events.log(self.logger, events.Event.SERVER_GONE, server="last")
        handler.close()
        self.writer.close()
        lines = [json.loads(line) for line in self.reader]
        self.assertLess(len(lines), 100)
        self.assertEqual("last", lines[-1]["server"])
        dropped = sum(line["count"] for line in lines if line["name"] == "LINES_DROPPED")
        self.assertEqual(501, dropped + sum(line["name"] == "SERVER_GONE" for line in lines))
