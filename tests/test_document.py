"""Tests of errors in documents of inventory and rules."""

import unittest

from toucanhold.configuration import document


class IntegerTest(unittest.TestCase):
    def test_integers_of_thousands_of_digits_are_reported_by_path(self):
        """Guards against a ValueError when such a number is printed in an error message."""
        number = "0x" + "f" * 5000
        text = f"[rules]\nservices = [{{ vms_per_replica = {number} }}]\n"
        with self.assertRaises(document.InvalidDocumentError) as raised:
            document.parse(text.encode(), ".toml")
        (error,) = raised.exception.exceptions
        self.assertIn("rules.services[0].vms_per_replica", str(error))
        self.assertIn("64 bits", str(error))

    def test_booleans_and_floats_are_no_integers(self):
        with self.assertRaises(document.InvalidDocumentError) as raised:
            document.from_plain({"format_version": True, "rules": 1e30})
        self.assertNotIn("64 bits", str(raised.exception.exceptions))
