"""Tests of the log events, their catalogue and the log formats."""

import collections
import io
import json
import logging
import unittest

from tools import catalogue
from toucanhold import events, logs


class CatalogueTest(unittest.TestCase):
    maxDiff = None

    def test_catalogue_page_is_current(self):
        message = "write the page anew with: python -m tools.catalogue"
        self.assertEqual(catalogue.page(), catalogue.PAGE.read_text(), message)

    def test_event_numbers_are_unique(self):
        numbers = collections.Counter(event.number for event in events.Event)
        self.assertEqual([], [number for number, count in numbers.items() if count > 1])

    def test_every_event_is_logged_somewhere(self):
        logged = catalogue.fields_by_event()
        self.assertEqual([], [event.name for event in events.Event if event.name not in logged])


class LogLineTest(unittest.TestCase):
    def _logged(self, log_format: str) -> str:
        stream = io.StringIO()
        root = logging.getLogger()
        before = root.handlers[:], root.level, logging.getLogger("toucanhold").level
        try:
            logs.set_up(stream, log_format, "info")
            logger = logging.getLogger("toucanhold.test")
            events.log(logger, events.Event.BACKEND_LOST, vm="vm-1", reason="no answer")
        finally:
            root.handlers[:], root.level = before[0], before[1]
            logging.getLogger("toucanhold").setLevel(before[2])
        return stream.getvalue()

    def test_json_line_has_number_name_and_fields(self):
        line = json.loads(self._logged("json"))
        self.assertEqual((6002, "BACKEND_LOST", "vm-1"), (line["event"], line["name"], line["vm"]))

    def test_human_format_is_one_line(self):
        text = self._logged("human")
        self.assertIn("6002 a backend server no longer answers vm=vm-1 reason=no answer", text)
        self.assertEqual(1, text.count("\n"))
