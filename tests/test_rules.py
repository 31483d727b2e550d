"""Tests of the rules that decide which calls may run more than once."""

import unittest

from toucanhold.configuration import rules

SERVICE = rules.Service(
    "releases",
    rules.ServiceKind.PLAIN,
    non_idempotent=(rules.CallPattern("PUT", "/valves/*"),),
    idempotent=(rules.CallPattern("POST", "/search"),),
)


class MayRepeatTest(unittest.TestCase):
    def test_post_without_a_rule_is_not_retried(self):
        # Guards against running a call twice. A publish that no rule lists was sent to a second
        # server when its connection broke, and the release was published twice. The caller must
        # get the outcome "unknown" instead.
        self.assertFalse(SERVICE.may_repeat("POST", "/publish"))
        self.assertFalse(SERVICE.may_repeat("PATCH", "/records/7"))

    def test_rules_take_precedence_over_the_method(self):
        self.assertFalse(SERVICE.may_repeat("PUT", "/valves/7"))
        self.assertTrue(SERVICE.may_repeat("POST", "/search"))

    def test_idempotent_methods_may_be_repeated(self):
        for method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE"):
            self.assertTrue(SERVICE.may_repeat(method, "/records/7"), method)
