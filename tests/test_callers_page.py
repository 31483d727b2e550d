"""The callers' page documents every problem, path, header and limit of the callers' interface."""

import pathlib
import re
import unittest

from toucanhold.callers import app, reading
from toucanhold.orders import keys, leases, records
from toucanhold.routing import requests

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CALLERS.md"


class CallersPageTest(unittest.TestCase):
    def test_every_problem_is_listed_with_its_status(self):
        rows = re.findall(r"^\| `([a-z-]+)` \| (\d+) \|", PAGE.read_text(), re.MULTILINE)
        expected = {problem.slug: str(problem.status) for problem in requests.Problem}
        self.assertEqual(expected, dict(rows))

    def test_paths_headers_and_limits_match_the_code(self):
        page = PAGE.read_text()
        headers = (reading.WORKSPACE_HEADER, reading.TIMEOUT_HEADER, reading.ZONE_HEADER)
        for name in (
            *headers,
            reading.KEY_HEADER,
            app.ADDRESSES_PATH,
            app.ORDER_KEYS_PATH,
        ):
            self.assertIn(name, page)
        self.assertIn(f"{records.KEPT_BODY_LIMIT_BYTES} bytes", page)
        self.assertIn(f"at least {leases.KEPT_S / 3600:.0f} hours", page)
        self.assertIn(f'"valid_s": {keys.VALID_S}', page)
        self.assertIn(f"1 to {reading.KEY_MAX_LENGTH} printable", page)
