"""Which calls may run more than once."""

import unittest

from toucanhold.configuration import rules

SERVICE = rules.Service(
    "releases",
    rules.ServiceKind.PLAIN,
    non_idempotent=(rules.CallPattern("PUT", "/valves/*"),),
    idempotent=(rules.CallPattern("POST", "/search"),),
)


class MayRepeatTest(unittest.TestCase):
    def test_a_call_that_the_rules_forgot_is_not_retried(self):
        # The caller of a publish that no rule names gets "unknown" when its connection breaks. It
        # used to be sent to a second server, and the release went out twice.
        self.assertFalse(SERVICE.may_repeat("POST", "/publish"))
        self.assertFalse(SERVICE.may_repeat("PATCH", "/records/7"))

    def test_rules_go_before_the_method(self):
        self.assertFalse(SERVICE.may_repeat("PUT", "/valves/7"))
        self.assertTrue(SERVICE.may_repeat("POST", "/search"))

    def test_other_methods_may_be_repeated(self):
        for method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE"):
            self.assertTrue(SERVICE.may_repeat(method, "/records/7"), method)
