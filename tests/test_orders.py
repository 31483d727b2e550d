"""Orders run at most once, and an order that is refused as "did not run" has not run."""

import itertools
import unittest

import trio
import trio.testing

from standins import orders as order_fakes
from toucanhold.coordination import keyvalue
from toucanhold.orders import claimed, claims, commits, leases, limits, records

FAULTS = ("unavailable", "lost-request", "lost-answer", "late")
BEHAVIOURS = ("ok", "not-sent", "lost-after-run", "lost-before-run")
CALLS = range(6)
LONG_S = 200.0


def run(test):
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class OrderTest(unittest.TestCase):
    """Runs tests on a mock clock with two entries, one key-value store and one backend server."""

    def with_entries(self, body):
        async def main():
            store, sender = order_fakes.FakeKeyValueClient(), order_fakes.FakeDispatcher()
            entries = [order_fakes.new_entry(name, store, sender) for name in ("a", "b")]
            async with trio.open_nursery() as nursery:
                for entry in entries:
                    await nursery.start(entry.run)
                await body(store, sender, *entries)
                nursery.cancel_scope.cancel()

        run(main)


class RepeatTest(OrderTest):
    def test_repeat_gets_the_recorded_answer_at_either_entry(self):
        async def body(store, sender, a, b):
            first = await a.send_order(order_fakes.new_request())
            await trio.sleep(1)
            for entry in (a, b):
                self.assertEqual(
                    (200, "ran", b"done"), await entry.send_order(order_fakes.new_request())
                )
            self.assertEqual((200, "ran", b"done"), first)
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_order_costs_two_calls(self):
        async def body(store, sender, a, b):
            await a.send_order(order_fakes.new_request("first"))
            await trio.sleep(1)
            store.calls.clear()
            await a.send_order(order_fakes.new_request("second"))
            await trio.sleep(1)
            self.assertEqual({"write": 2}, dict(store.calls))

        self.with_entries(body)

    def test_repeat_of_a_running_order_gets_in_progress_at_once(self):
        # The caller repeats an order at the same and at another entry while it runs. Both repeats
        # must get "in progress" with a retry time without waiting, and the order must run once.
        async def body(store, sender, a, b):
            sender.processing_s = 8.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(1)
                for entry in (a, b):
                    problem, outcome, retry_after_s = await entry.send_order(
                        order_fakes.new_request()
                    )
                    self.assertEqual(("in-progress", "unknown"), (problem, outcome))
                    self.assertGreater(retry_after_s, 0)
                self.assertLess(trio.current_time(), 3)
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_two_entries_race_for_one_key(self):
        async def body(store, sender, a, b):
            outcomes = []

            async def send(entry):
                outcomes.append((await entry.send_order(order_fakes.new_request()))[0])

            async with trio.open_nursery() as nursery:
                for entry in (a, b, a, b):
                    nursery.start_soon(send, entry)
            self.assertEqual(1, len(sender.executed_ids))
            self.assertEqual([200] + ["in-progress"] * 3, sorted(outcomes, key=str))

        self.with_entries(body)

    def test_key_with_another_body_or_path_is_refused(self):
        async def body(store, sender, a, b):
            await a.send_order(order_fakes.new_request())
            await trio.sleep(1)
            for changes in ({"body": b"other"}, {"path": "/valves/8"}, {"method": "PUT"}):
                answer = await b.send_order(order_fakes.new_request(**changes))
                self.assertEqual(("key-reused", "did-not-run"), answer[:2])
            other = order_fakes.new_request(workspace="orchards", body=b"other")
            self.assertEqual(200, (await b.send_order(other))[0])
            self.assertEqual(2, len(sender.executed_ids))

        self.with_entries(body)

    def test_large_answer_is_passed_on_and_recorded_without_its_body(self):
        async def body(store, sender, a, b):
            sender.body = b"x" * (records.KEPT_BODY_LIMIT_BYTES + 1)
            first = await a.send_order(order_fakes.new_request())
            await trio.sleep(1)
            self.assertEqual((200, "ran", sender.body), first)
            for entry in (a, b):
                answer = await entry.send_order(order_fakes.new_request())
                self.assertEqual(("answer-not-kept", "ran"), answer[:2])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_order_without_key_is_sent_once_and_needs_no_platform(self):
        async def body(store, sender, a, b):
            store.is_down = True
            sender.behaviours = ["lost-after-run"]
            lost = await a.send_order(order_fakes.new_request(""))
            self.assertEqual(("outcome-unknown", "unknown"), lost[:2])
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("")))[0])
            self.assertEqual((2, 0), (len(sender.executed_ids), store.calls.total()))

        self.with_entries(body)

    def test_caller_who_leaves_does_not_cancel_the_order(self):
        # The caller disconnects after the order was sent. The backend server executes it anyway,
        # so the order must not be cancelled, and a repeat must get its answer.
        async def body(store, sender, a, b):
            sender.processing_s = 5.0
            with trio.move_on_after(1):
                await a.send_order(order_fakes.new_request())
            await trio.sleep(10)
            self.assertEqual((200, "ran", b"done"), await b.send_order(order_fakes.new_request()))
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)


class FaultTest(OrderTest):
    def test_every_fault_at_every_call_for_every_outcome(self):
        # The caller sends an order and repeats it at both entries, at once and later. One call to
        # the key-value service fails before or after its effect, or takes effect late, while the
        # order runs, does not run or loses its answer. The order must run at most once, each
        # "did not run" must be true, and the key of an order that never ran must stay usable.
        for call, fault, behaviour in itertools.product(CALLS, FAULTS, BEHAVIOURS):
            with self.subTest(call=call, fault=fault, behaviour=behaviour):
                self._check(call, fault, behaviour)

    def _check(self, call, fault, behaviour):
        async def body(store, sender, a, b):
            store.faults[call] = fault
            sender.behaviours = [behaviour]
            for entry, wait_s in ((a, 0), (b, 0), (a, 1), (b, 10), (a, LONG_S), (b, LONG_S)):
                await trio.sleep(wait_s)
                request = order_fakes.new_request()
                answer = await entry.send_order(request)
                self.assertLessEqual(len(sender.executed_ids), 1)
                if answer[1] == "did-not-run":
                    self.assertNotIn(request.request_id, sender.executed_ids)
            lost = behaviour.startswith("lost")
            self.assertEqual("outcome-unknown" if lost else 200, answer[0])
            self.assertEqual(0 if behaviour == "lost-before-run" else 1, len(sender.executed_ids))

        self.with_entries(body)

    def test_entry_killed_at_every_step(self):
        # Entry "a" is killed while it claims, sends or records an order. A repeat at "b" gets "in
        # progress" at first and "unknown" after the stated time, or runs if there is no claim.
        for step in range(1, 40):
            with self.subTest(killed_after_s=step * 0.004):
                self._check_kill(step * 0.004)

    def _check_kill(self, killed_after_s):
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(killed_after_s)
                a.kill()
            for wait_s in (0, 1, LONG_S):
                await trio.sleep(wait_s)
                answer = await b.send_order(order_fakes.new_request())
                self.assertLessEqual(len(sender.executed_ids), 1)
            self.assertIn(answer[0], (200, "outcome-unknown"))

        self.with_entries(body)

    def test_entry_paused_between_claim_and_sending(self):
        # Entry "a" claims an order, is paused for an hour and then sends it. Other entries have
        # considered "a" dead for long but must not run an order that is claimed: it runs once.
        async def body(store, sender, a, b):
            sender.processing_s = 3600.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(60)
                answer = await b.send_order(order_fakes.new_request())
                self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            await trio.sleep(1)
            self.assertEqual((200, "ran", b"done"), await b.send_order(order_fakes.new_request()))
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_restarted_entry_does_not_wait_for_its_former_process(self):
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(0.05)
                a.kill()
                restarted = order_fakes.new_entry("a", store, sender)
                await nursery.start(restarted.run)
                answer = await restarted.send_order(order_fakes.new_request())
                self.assertEqual("outcome-unknown", answer[0])
                restarted.kill()

        self.with_entries(body)

    def test_claim_with_lost_responses_is_refused_and_released(self):
        # The claim is written, and all responses of the service are lost from then on. Nothing
        # must be sent, and the refusal must say so. Once the service responds again, the key must
        # be usable at "b" too.
        async def body(store, sender, a, b):
            store.faults.update({1: "lost-answer"} | dict.fromkeys(range(2, 60), "lost-request"))
            answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            self.assertEqual([], sender.executed_ids)
            self.assertTrue(store.items)
            await trio.sleep(LONG_S * 3)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_claim_written_after_its_refusal_is_released(self):
        # The write of the claim is delayed, the service does not respond for a while, and the
        # caller is refused. The write takes effect seconds later. The unused claim must be
        # deleted, or repeats would get "unknown" for a day although the order never ran.
        async def body(store, sender, a, b):
            store.faults.update({1: "late"} | dict.fromkeys(range(2, 18), "lost-request"))
            answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            await trio.sleep(LONG_S)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_claim_written_after_its_release_is_released_again(self):
        # The first write of the claim is delayed, and the second takes effect. No backend server
        # can be reached, so the claim is released. Then the first write takes effect.
        async def body(store, sender, a, b):
            store.faults[1] = "late"
            sender.behaviours = ["not-sent"]
            self.assertEqual("did-not-run", (await a.send_order(order_fakes.new_request()))[1])
            await trio.sleep(LONG_S)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_entry_replaces_its_own_abandoned_claim(self):
        async def body(store, sender, a, b):
            store.faults.update({1: "lost-answer"} | dict.fromkeys(range(2, 60), "lost-request"))
            self.assertEqual("did-not-run", (await a.send_order(order_fakes.new_request()))[1])
            await trio.sleep(0.02)
            self.assertTrue(store.items)
            store.faults.clear()
            self.assertEqual(200, (await a.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_internal_error_ends_no_other_order(self):
        async def body(store, sender, a, b):
            store.faults.update({0: "bug", 2: "bug"})
            with self.assertLogs("toucanhold.orders.running", "ERROR"):
                answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("other")))[0])

        self.with_entries(body)

    def test_internal_error_after_sending_is_not_a_refusal(self):
        async def body(store, sender, a, b):
            sender.behaviours = ["bug"]
            with self.assertLogs("toucanhold.orders.running", "ERROR"):
                answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            await trio.sleep(1)
            self.assertEqual("outcome-unknown", (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)


class ClaimLimitTest(OrderTest):
    def test_claims_in_the_service_are_bounded_and_expire(self):
        async def body(store, sender, a, b):
            a.order_handler.claimed_executor.claims.leases.max_claims = lambda: 3
            sender.behaviours = ["ok", "not-sent"]
            outcomes = []
            for number in range(6):
                outcomes.append((await a.send_order(order_fakes.new_request(f"key-{number}")))[0])
                await trio.sleep(1)
            refused = ["claim-unavailable"] * 2
            self.assertEqual([200, "no-capacity", 200, 200, *refused], outcomes)
            await trio.sleep(leases.KEPT_S + 3 * leases.LEASE_INTERVAL_S)
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("later")))[0])

        self.with_entries(body)


class BatchingTest(unittest.TestCase):
    def commit_all(self, commit_keys):
        """Commit all keys while an earlier commit is sent; return the results and the store."""
        store = order_fakes.FakeKeyValueClient(items={"taken": keyvalue.Item("taken", b"", 1, 1)})
        bucket = limits.TokenBucket(lambda: 1000.0, 100)
        committer = commits.BatchingCommitter(store, bucket, workers=1)
        outcomes = {}

        async def commit_key(number, key):
            condition = keyvalue.Condition(key, create_revision=0)
            commit = commits.Commit(condition, keyvalue.Write(key, b"value"))
            outcomes[number] = (await committer.commit(commit)).succeeded

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(committer.run)
                async with trio.open_nursery() as callers:
                    for number, key in enumerate(["first", *commit_keys]):
                        callers.start_soon(commit_key, number, key)
                        await trio.sleep(0.0001)
                nursery.cancel_scope.cancel()

        run(main)
        return [outcomes[number + 1] for number in range(len(commit_keys))], store

    def test_queued_commits_are_sent_in_one_transaction(self):
        results, store = self.commit_all([f"key-{number}" for number in range(20)])
        self.assertEqual([True] * 20, results)
        self.assertEqual(2, store.calls["write"])

    def test_a_commit_that_fails_does_not_fail_the_others(self):
        results, store = self.commit_all(["one", "taken", "two"])
        self.assertEqual([True, False, True], results)

    def test_no_transaction_writes_a_key_twice(self):
        results, store = self.commit_all(["one", "one", "two"])
        self.assertEqual([False, True, True], sorted(results))


class OutageTest(OrderTest):
    def test_keyed_order_in_an_outage_is_refused_as_not_run(self):
        async def body(store, sender, a, b):
            store.is_down = True
            sent_at_s = trio.current_time()
            problem, outcome, retry_after_s = await a.send_order(order_fakes.new_request())
            self.assertLess(trio.current_time() - sent_at_s, 0.5)
            self.assertEqual(("claim-unavailable", "did-not-run"), (problem, outcome))
            self.assertGreater(retry_after_s, 0)
            self.assertEqual([], sender.executed_ids)
            store.is_down = False
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_outcome_is_recorded_after_an_outage(self):
        # The key-value service fails while the order runs. The caller must still get the answer;
        # a repeat at "a" gets it from memory, and one at "b" is refused until the outage is over.
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(0.05)
                store.is_down = True
            self.assertEqual(200, (await a.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, await a.order_handler.drain(timeout_s=20))
            self.assertEqual(
                "claim-unavailable", (await b.send_order(order_fakes.new_request()))[0]
            )
            store.is_down = False
            self.assertEqual(0, await a.order_handler.drain(timeout_s=20))
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_expired_lease_is_replaced(self):
        async def body(store, sender, a, b):
            await a.send_order(order_fakes.new_request("first"))
            await trio.sleep(1)
            store.expire_lease(1000)
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("second")))[0])

        self.with_entries(body)


class RateTest(unittest.TestCase):
    def test_orders_beyond_the_rate_are_refused_and_none_is_lost(self):
        run(self._exceed_rate)

    async def _exceed_rate(self):
        store, sender = order_fakes.FakeKeyValueClient(), order_fakes.FakeDispatcher()
        entry = order_fakes.new_entry("a", store, sender, calls_per_s=2.0)
        answers = []

        async def send(number):
            answers.append(await entry.send_order(order_fakes.new_request(f"key-{number}")))

        async with trio.open_nursery() as nursery:
            await nursery.start(entry.run)
            async with trio.open_nursery() as callers:
                for number in range(claimed.MAX_UNSETTLED + 200):
                    callers.start_soon(send, number)
            served = [answer for answer in answers if answer[0] == 200]
            refused = [answer for answer in answers if answer[0] != 200]
            self.assertEqual(len(served), len(sender.executed_ids))
            self.assertTrue(refused)
            self.assertEqual({"did-not-run"}, {answer[1] for answer in refused})
            self.assertTrue(all(answer[2] > 0 for answer in refused))
            nursery.cancel_scope.cancel()

    def test_abandoned_claims_are_bounded(self):
        run(self._exceed_abandoned_claims)

    async def _exceed_abandoned_claims(self):
        store, sender = order_fakes.FakeKeyValueClient(), order_fakes.FakeDispatcher()
        store.faults = dict.fromkeys(range(1, 100_000), "lost-request")
        entry = order_fakes.new_entry("a", store, sender)
        async with trio.open_nursery() as nursery:
            await nursery.start(entry.run)
            async with trio.open_nursery() as callers:
                for number in range(claims.MAX_ABANDONED):
                    callers.start_soon(entry.send_order, order_fakes.new_request(f"key-{number}"))
            writes_before = store.calls["write"]
            answer = await entry.send_order(order_fakes.new_request("one more"))
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            self.assertEqual(writes_before, store.calls["write"])
            nursery.cancel_scope.cancel()
