"""Tests of the causes that are read from the log of a day."""

import json
import unittest

from tests.platform import late_requests

OBJECTIVES = late_requests.Objectives(first_s=0.3, pause_s=0.2, queue_s=0.05)


def line(name, request_id="r1", **fields):
    record = {"time": "2026-01-02T03:04:05.678Z", "name": name, "request_id": request_id} | fields
    return f"  1.25 entry-1 {json.dumps(record)}\n"


def placed(waited_s):
    return line("CALL_PLACED", waited_s=waited_s)


def ended(first_s=0.2, status=200, outcome="answered", longest_pause_s=0.1):
    return line(
        "CALL_ENDED",
        path="/drafts/1/2",
        status=status,
        outcome=outcome,
        first_s=first_s,
        longest_pause_s=longest_pause_s,
    )


class CausesTest(unittest.TestCase):
    def _cause(self, *lines):
        (request,) = late_requests.read(lines)
        return late_requests.cause(request, OBJECTIVES)

    def test_answers_in_time_have_no_cause(self):
        self.assertEqual("", self._cause(placed(0.2), ended()))

    def test_late_answers(self):
        resent = line("CALL_RESENT", failure="i-1: connection lost: ReadError()")
        self.assertEqual("late: queued at the entry", self._cause(placed(0.2), ended(0.4)))
        self.assertEqual("late: slow first event", self._cause(placed(0.01), ended(0.4)))
        self.assertEqual("late: paused", self._cause(placed(0.01), ended(longest_pause_s=0.3)))
        self.assertEqual(
            "late: sent again (connection lost: ReadError)",
            self._cause(placed(0.01), resent, placed(0.3), ended(0.4)),
        )

    def test_requests_without_an_answer(self):
        reason = "no backend server has room in time"
        self.assertEqual(f"not answered: {reason}", self._cause(ended(0.01, 503, reason)))
        self.assertEqual("", self._cause(ended(None, None, "left")))
        self.assertEqual("", self._cause(ended(0.01, 401, "the key belongs to no workspace")))

    def test_unreadable_lines_and_other_events_are_skipped(self):
        lines = [
            "day begins",
            '1.0 e {"time": broken',
            line("GROUP_SERVES", request_id=""),
            ended(),
        ]
        self.assertEqual(1, len(late_requests.read(lines)))

    def test_callers_that_come_back_with_the_same_id_are_counted_again(self):
        refused = ended(0.01, 503, "no backend server has room in time")
        self.assertEqual(2, len(late_requests.read([refused, placed(0.0), ended()])))
