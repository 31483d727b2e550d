"""Orders run at most once, and every refusal that says so is true."""

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
    """Each test runs on a test clock with two entries, one store and one backend server."""

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

    def test_repeat_while_it_runs_is_told_so_at_once(self):
        # The caller sends again, at the same entry and at another, while the order runs: both
        # are told "in progress" with a time to come back, neither waits, and nothing runs twice.
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
        # The caller's connection closes after the order was sent. The valve opens all the same,
        # so the order must go on and a repeat must get its answer.
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
        # The caller sends an order and repeats its key at both entries, at once and later. One
        # call to the key-value service fails before or after its effect, or takes effect later,
        # while the order runs, does not run, or loses its answer. It runs at most once, each
        # "did not run" is true, and no key is stuck that never ran.
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
                last = await entry.send_order(request)
                self.assertLessEqual(len(sender.executed_ids), 1)
                if last[1] == "did-not-run":
                    self.assertNotIn(request.request_id, sender.executed_ids)
            lost = behaviour.startswith("lost")
            self.assertEqual("outcome-unknown" if lost else 200, last[0])
            self.assertEqual(0 if behaviour == "lost-before-run" else 1, len(sender.executed_ids))

        self.with_entries(body)

    def test_entry_dies_at_every_moment(self):
        # Entry "a" is killed while it claims, sends or records. A repeat at "b" is told "in
        # progress" at first and "unknown" after the stated time, or runs if nothing was claimed.
        for step in range(1, 40):
            with self.subTest(died_after_s=step * 0.004):
                self._check_death(step * 0.004)

    def _check_death(self, died_after_s):
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(died_after_s)
                a.kill()
            for wait_s in (0, 1, LONG_S):
                await trio.sleep(wait_s)
                last = await b.send_order(order_fakes.new_request())
                self.assertLessEqual(len(sender.executed_ids), 1)
            self.assertIn(last[0], (200, "outcome-unknown"))

        self.with_entries(body)

    def test_entry_paused_between_claim_and_sending(self):
        # Entry "a" claims, is paused for an hour and then sends. Everybody has long taken it for
        # dead, but a claim is never run by another: the order runs once, by "a".
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

    def test_restarted_entry_knows_that_its_former_process_is_gone(self):
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(0.05)
                a.kill()
                again = order_fakes.new_entry("a", store, sender)
                await nursery.start(again.run)
                answer = await again.send_order(order_fakes.new_request())
                self.assertEqual("outcome-unknown", answer[0])
                again.kill()

        self.with_entries(body)

    def test_claim_whose_answer_never_comes_is_refused_and_released(self):
        # The service takes the claim and its answers are lost from then on. Nothing is sent, the
        # caller is told so, and once the service answers again the key can be used at "b" too.
        async def body(store, sender, a, b):
            store.faults.update({1: "lost-answer"} | dict.fromkeys(range(2, 60), "lost-request"))
            answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            self.assertEqual([], sender.executed_ids)
            self.assertTrue(store.items)
            await trio.sleep(LONG_S * 3)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_claim_that_arrives_after_its_refusal_is_released(self):
        # The claim's write is held up on its way, the service answers nothing else for a while,
        # and the caller is refused. The write arrives seconds later, with nobody to use it: a
        # repeat must not be told "unknown" for a day about an order that never ran.
        async def body(store, sender, a, b):
            store.faults.update({1: "late"} | dict.fromkeys(range(2, 18), "lost-request"))
            answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            await trio.sleep(LONG_S)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_claim_that_arrives_after_its_release_is_released_again(self):
        # The first write of the claim is held up, the second one stands; no backend server can
        # be reached, so the claim is released. Then the first write arrives.
        async def body(store, sender, a, b):
            store.faults[1] = "late"
            sender.behaviours = ["not-sent"]
            self.assertEqual("did-not-run", (await a.send_order(order_fakes.new_request()))[1])
            await trio.sleep(LONG_S)
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_entry_claims_anew_over_its_own_abandoned_claim(self):
        async def body(store, sender, a, b):
            store.faults.update({1: "lost-answer"} | dict.fromkeys(range(2, 60), "lost-request"))
            self.assertEqual("did-not-run", (await a.send_order(order_fakes.new_request()))[1])
            await trio.sleep(0.02)
            self.assertTrue(store.items)
            store.faults.clear()
            self.assertEqual(200, (await a.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_own_failure_ends_no_other_order(self):
        async def body(store, sender, a, b):
            store.faults.update({0: "bug", 2: "bug"})
            with self.assertLogs("toucanhold.orders.running", "ERROR"):
                answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("other")))[0])

        self.with_entries(body)

    def test_own_failure_after_sending_is_no_refusal(self):
        async def body(store, sender, a, b):
            sender.behaviours = ["bug"]
            with self.assertLogs("toucanhold.orders.running", "ERROR"):
                answer = await a.send_order(order_fakes.new_request())
            self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            await trio.sleep(1)
            self.assertEqual("outcome-unknown", (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)


class KeptClaimsTest(OrderTest):
    def test_claims_in_the_service_are_bounded_and_age(self):
        async def body(store, sender, a, b):
            a.order_handler.claimed.claims.leases.max_claims = lambda: 3
            sender.behaviours = ["ok", "not-sent"]
            ends = []
            for number in range(6):
                ends.append((await a.send_order(order_fakes.new_request(f"key-{number}")))[0])
                await trio.sleep(1)
            refused = ["claim-unavailable"] * 2
            self.assertEqual([200, "no-capacity", 200, 200, *refused], ends)
            await trio.sleep(leases.KEPT_S + 3 * leases.BUCKET_S)
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("later")))[0])

        self.with_entries(body)


class CombiningTest(unittest.TestCase):
    def commit_all(self, commits_wanted):
        """Commit all at once, one more first so that they gather; return the results."""
        store = order_fakes.FakeKeyValueClient(items={"taken": keyvalue.Item("taken", b"", 1, 1)})
        bucket = limits.TokenBucket(lambda: 1000.0, 100)
        committer = commits.CombiningCommitter(store, bucket, workers=1)
        outcomes = {}

        async def one(number, key):
            condition = keyvalue.Condition(key, create_revision=0)
            commit = commits.Commit(condition, keyvalue.Write(key, b"value"))
            outcomes[number] = (await committer.commit(commit)).succeeded

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(committer.run)
                async with trio.open_nursery() as callers:
                    for number, key in enumerate(["first", *commits_wanted]):
                        callers.start_soon(one, number, key)
                        await trio.sleep(0.0001)
                nursery.cancel_scope.cancel()

        run(main)
        return [outcomes[number + 1] for number in range(len(commits_wanted))], store

    def test_gathered_commits_go_in_one_call(self):
        results, store = self.commit_all([f"key-{number}" for number in range(20)])
        self.assertEqual([True] * 20, results)
        self.assertEqual(2, store.calls["write"])

    def test_a_commit_that_fails_does_not_fail_the_others(self):
        results, store = self.commit_all(["one", "taken", "two"])
        self.assertEqual([True, False, True], results)

    def test_one_key_twice_is_not_put_into_one_call(self):
        results, store = self.commit_all(["one", "one", "two"])
        self.assertEqual([False, True, True], sorted(results))


class OutageTest(OrderTest):
    def test_outage_refuses_keyed_orders_truthfully(self):
        async def body(store, sender, a, b):
            store.is_down = True
            asked_at_s = trio.current_time()
            problem, outcome, retry_after_s = await a.send_order(order_fakes.new_request())
            self.assertLess(trio.current_time() - asked_at_s, 0.5)
            self.assertEqual(("claim-unavailable", "did-not-run"), (problem, outcome))
            self.assertGreater(retry_after_s, 0)
            self.assertEqual([], sender.executed_ids)
            store.is_down = False
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])

        self.with_entries(body)

    def test_outcome_is_recorded_once_the_platform_is_back(self):
        # The platform goes down while the order runs. Its caller still gets the answer; a repeat
        # at "a" gets it from memory, at "b" nothing false; after the outage "b" gets it too.
        async def body(store, sender, a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request())
                await trio.sleep(0.05)
                store.is_down = True
            self.assertEqual(200, (await a.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, await a.order_handler.finish(limit_s=20))
            self.assertEqual(
                "claim-unavailable", (await b.send_order(order_fakes.new_request()))[0]
            )
            store.is_down = False
            self.assertEqual(0, await a.order_handler.finish(limit_s=20))
            self.assertEqual(200, (await b.send_order(order_fakes.new_request()))[0])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_entries(body)

    def test_lease_that_the_platform_lost_is_replaced(self):
        async def body(store, sender, a, b):
            await a.send_order(order_fakes.new_request("first"))
            await trio.sleep(1)
            store.expire_lease(1000)
            self.assertEqual(200, (await a.send_order(order_fakes.new_request("second")))[0])

        self.with_entries(body)


class RateTest(unittest.TestCase):
    def test_orders_beyond_the_rate_are_refused_and_none_is_lost(self):
        run(self._flood)

    async def _flood(self):
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
        run(self._abandon)

    async def _abandon(self):
        store, sender = order_fakes.FakeKeyValueClient(), order_fakes.FakeDispatcher()
        store.faults = dict.fromkeys(range(1, 100_000), "lost-request")
        entry = order_fakes.new_entry("a", store, sender)
        async with trio.open_nursery() as nursery:
            await nursery.start(entry.run)
            async with trio.open_nursery() as callers:
                for number in range(claims.MAX_ABANDONED):
                    callers.start_soon(entry.send_order, order_fakes.new_request(f"key-{number}"))
            before = store.calls["write"]
            answer = await entry.send_order(order_fakes.new_request("one more"))
            self.assertEqual(("claim-unavailable", "did-not-run"), answer[:2])
            self.assertEqual(before, store.calls["write"])
            nursery.cancel_scope.cancel()
