"""Tests of the accounts of one entry's requests and retries."""

import random
import unittest

from toucanhold.gateway import retry_ledger

WINDOW_S = 10.0
ALLOWANCE = retry_ledger.Allowance(ratio=0.2, slack=15.0)


def new_ledger():
    return retry_ledger.RetryLedger(WINDOW_S)


def count(times_s, start_s, end_s):
    return sum(start_s <= time_s <= end_s for time_s in times_s)


def most_in_a_window(requests_s, retries_s):
    """Return the most retries in a window as a part of what the requests around it allow."""
    most = 0.0
    for end_s in retries_s:
        start_s = end_s - WINDOW_S
        requests = max(
            count(requests_s, start_s, end_s),
            count(requests_s, start_s - WINDOW_S, start_s),
        )
        allowed = ALLOWANCE.ratio * requests + ALLOWANCE.slack
        most = max(most, count(retries_s, start_s, end_s) / allowed)
    return most


class RetryLedgerTest(unittest.TestCase):
    def test_no_window_has_more_retries_than_its_requests_allow(self):
        """Guards against windows between which a burst of requests or retries falls."""
        for seed in range(20):
            rng = random.Random(seed)
            ledger, requests_s, retries_s = new_ledger(), [], []
            now_s = 0.0
            while now_s < 60:
                now_s += rng.expovariate(40.0)
                is_busy = int(now_s / rng.choice((3, 7, 11))) % 2
                if rng.random() < (0.9 if is_busy else 0.1):
                    ledger.record_request(now_s)
                    requests_s.append(now_s)
                elif ledger.headroom(now_s, ALLOWANCE) >= 1:
                    ledger.add_pending(1.0)
                    ledger.settle_pending(1.0, now_s)
                    retries_s.append(now_s)
            self.assertGreater(most_in_a_window(requests_s, retries_s), 0.8)
            self.assertLessEqual(most_in_a_window(requests_s, retries_s), 1.0)

    def test_the_whole_allowance_can_be_used_in_steady_traffic(self):
        ledger, retries = new_ledger(), 0
        for tick in range(400):
            now_s = tick * 0.1
            ledger.record_request(now_s)
            while now_s >= 30 and ledger.headroom(now_s, ALLOWANCE) >= 1:
                ledger.add_pending(1.0)
                ledger.settle_pending(1.0, now_s)
                retries += 1
        self.assertGreaterEqual(retries, 0.9 * (ALLOWANCE.ratio * 100 + ALLOWANCE.slack))

    def test_a_pending_retry_counts_however_long_it_waits(self):
        """Guards against retries that queue past their window and then arrive together."""
        ledger = new_ledger()
        for _ in range(15):
            ledger.add_pending(1.0)
        self.assertEqual(0, ledger.headroom(3 * WINDOW_S, ALLOWANCE))
        ledger.settle_pending(1.0, 3 * WINDOW_S)
        ledger.cancel_pending(1.0)
        self.assertEqual(1, ledger.headroom(3 * WINDOW_S, ALLOWANCE))
        self.assertEqual(2, ledger.headroom(4.1 * WINDOW_S, ALLOWANCE))

    def test_lent_retries_count_from_the_end_of_the_loan(self):
        """Guards against a loan that is used at its end, after its window here has passed."""
        ledger = new_ledger()
        ledger.lend(10.0, until_s=1.0)
        self.assertEqual(5, ledger.headroom(0.0, ALLOWANCE))
        self.assertEqual(5, ledger.headroom(WINDOW_S + 0.9, ALLOWANCE))
        self.assertEqual(15, ledger.headroom(WINDOW_S + 1.3, ALLOWANCE))
        ledger.lend(10.0, until_s=12.0)
        ledger.take_back(4.0, 12.0)
        self.assertEqual(9, ledger.headroom(12.0, ALLOWANCE))

    def test_requests_do_not_allow_retries_that_are_delayed_past_them(self):
        """Guards against loans for requests that are over when the loan is used."""
        ledger = new_ledger()
        for number in range(100):
            ledger.record_request(0.02 * number)
        self.assertGreaterEqual(ledger.headroom(9.0, ALLOWANCE), 23)
        self.assertEqual(15, ledger.headroom(9.0, ALLOWANCE, ahead_s=3.0))

    def test_requests_without_retries_are_not_kept(self):
        """Guards against a process whose memory grows with its age."""
        ledger = new_ledger()
        for tick in range(10_000):
            ledger.record_request(0.2 * tick)
        self.assertLessEqual(len(ledger._requests), retry_ledger.MAX_REQUEST_BUCKETS + 1)
