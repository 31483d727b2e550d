"""Concurrent changes of the configuration by operators, and changes whose response is lost."""

import unittest

import trio

from tests import test_revisions as support


class ConcurrentChangeTest(unittest.TestCase):
    @support.on_test_clock
    async def test_rejected_operator_gets_the_concurrent_changes(self):
        # Two operators read configuration 1. One changes a service; the other one's document would
        # undo that change. It must be rejected with the differences.
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(1)
            first = await support.apply(site, "entry-1", expected=1, replicas=2)
            self.assertEqual(200, first.status, first.body)
            second = await support.apply(site, "entry-2", expected=1, replicas=3)
            self.assertEqual((409, "conflict"), (second.status, second.json()["kind"]))
            expected = [{"kind": "service", "name": "drafts", "change": "changed"}]
            self.assertEqual(expected, second.json()["differences"])

    @support.on_test_clock
    async def test_rejected_operator_at_an_entry_without_history_gets_the_parts(self):
        async with support.running(started=("entry-0",)) as site:
            await support.apply(site)
            await support.apply(site, expected=1, replicas=2)
            await site.start("entry-1")
            await trio.sleep(2)
            answer = await support.apply(site, "entry-1", expected=1, replicas=3)
            expected = [{"kind": "part", "name": "rules", "change": "changed"}]
            self.assertEqual(expected, answer.json()["differences"])

    @support.on_test_clock
    async def test_exactly_one_of_two_simultaneous_changes_is_accepted(self):
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(1)
            answers = []

            async def change(name, replicas):
                answers.append(await support.apply(site, name, 1, replicas))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, "entry-0", 2)
                nursery.start_soon(change, "entry-1", 3)
            self.assertEqual([200, 409], sorted(answer.status for answer in answers))
            await trio.sleep(1)
            self.assertEqual(2, site.app("entry-2").configuration.current.number)


class LostResponseTest(unittest.TestCase):
    @support.on_test_clock
    async def test_change_with_a_lost_response_is_reported_as_accepted(self):
        async with support.running() as site:
            await trio.sleep(1)
            faults = site.platform.faults["entry-0"]
            faults.lose_kinds, faults.lose_answers = ("kv/txn",), 1
            answer = await support.apply(site)
            self.assertEqual((200, 1), (answer.status, answer.json()["configuration"]))

    @support.on_test_clock
    async def test_change_with_a_lost_request_is_applied_once(self):
        async with support.running() as site:
            await trio.sleep(1)
            faults = site.platform.faults["entry-0"]
            faults.lose_kinds, faults.lose_requests = ("kv/txn",), 1
            answer = await support.apply(site)
            self.assertEqual((200, 1), (answer.status, answer.json()["configuration"]))

    @support.on_test_clock
    async def test_change_during_an_outage_is_reported_as_unavailable(self):
        async with support.running() as site:
            await trio.sleep(1)
            site.platform.set_mode("down")
            answer = await support.apply(site)
            self.assertEqual((503, "unavailable"), (answer.status, answer.json()["kind"]))

    @support.on_test_clock
    async def test_change_interrupted_after_sending_is_reported_as_unknown(self):
        # The write takes effect, its response is lost, and the service fails before the outcome
        # can be read: the entry must report neither "accepted" nor "refused".
        async with support.running() as site:
            await trio.sleep(1)
            faults = site.platform.faults["entry-0"]
            faults.lose_kinds, faults.lose_answers = ("kv/txn",), 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expect_unknown, site)
                await trio.sleep(0.1)
                site.platform.set_mode("down", "entry-0")

    async def _expect_unknown(self, site):
        answer = await support.apply(site)
        self.assertEqual((504, "unknown-outcome"), (answer.status, answer.json()["kind"]))

    @support.on_test_clock
    async def test_unexpected_error_gets_a_typed_answer(self):
        async with support.running() as site:
            await trio.sleep(1)

            site.app("entry-0").operators.change_coordinator = None
            with self.assertLogs("toucanhold.operators.app", "ERROR"):
                answer = await support.apply(site)
            self.assertEqual((500, "internal"), (answer.status, answer.json()["kind"]))

    @support.on_test_clock
    async def test_invalid_document_changes_nothing(self):
        async with support.running() as site:
            await trio.sleep(1)
            body = support.document()
            body["inventory"]["vms"][1]["availability_zone"] = "nowhere"
            change = {"document": body, "expected": 0}
            answer = await site.call_operators("entry-0", "PUT", "document", change)
            self.assertEqual((422, "invalid"), (answer.status, answer.json()["kind"]))
            self.assertEqual(0, site.app("entry-0").configuration.current.number)
