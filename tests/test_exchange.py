"""Tests of the exchange between up to hundreds of entries in several availability zones."""

import collections
import random
import unittest
from unittest import mock

import attrs
import msgpack
import trio
import trio.testing

from standins import gateways
from tests import clocked
from tests.platform import standins
from toucanhold.gateway import (
    blame,
    crashes,
    draining,
    entries,
    exchange,
    health,
    limits,
    load,
    notice_building,
    notices,
    rate_limiter,
    silence,
    suspensions,
    trial_turns,
    trials,
)
from toucanhold.registry import signals

TIMEOUT_S = 5
# The test clock advances once nothing has happened for this long.
AUTOJUMP_S = 0.001


@attrs.define(eq=False, slots=False)
class Node:
    """An entry with the components that take part in the exchange."""

    name: str
    zone: str = "a"
    cores: float = 1.0

    def __attrs_post_init__(self):
        address = standins.free_address()
        own = entries.Entry(self.name, self.zone, "r", address, address, "b1", self.cores)
        self.entry_list = gateways.FixedEntryList(own)
        self.loads = load.LoadTracker()
        self.health = health.Health()
        self.crashes = crashes.CrashTracker()
        self.registry = gateways.FixedRegistry(gateways.new_servers(1))
        self.draining_table = draining.DrainingTable(self.registry)
        self.silent = []
        self.detector = silence.SilenceDetector(self.health, self.silent.append)
        limit_table = limits.LimitTable()
        limiter = rate_limiter.RateLimiter(limit_table, self.entry_list, random.Random(1))
        turns = trial_turns.TrialTurns(self.entry_list, limiter.counts)
        self.trials = trials.ServerTrials(self.health, self.loads, limit_table, turns)
        self.exchange = exchange.Exchange(
            self.entry_list,
            self.loads,
            limiter,
            self.draining_table,
            self.crashes,
            self._on_silent,
            random.Random(1),
            (turns,),
            self.trials,
        )
        self.scope = trio.CancelScope()

    def _on_silent(self, server_id, entry):
        if self.detector.confirm(server_id, entry):
            self.silent.append(server_id)

    async def run(self):
        with self.scope:
            await self.exchange.run()


def new_limit(rate_per_s):
    return {"server_id": "s1", "born_ms": 1, "version": 1, "rate_per_s": rate_per_s}


def new_site(zones, entries_per_zone):
    """Return nodes that list each other; the first two of each zone are the largest."""
    nodes = [
        Node(f"{zone}{n}", zone, 3.0 - n if n < 2 else 0.5)
        for zone in zones
        for n in range(entries_per_zone)
    ]
    for node in nodes:
        node.entry_list.other_entries += [
            other.entry_list.own for other in nodes if other is not node
        ]
    return nodes


async def wait_until(condition, timeout_s=TIMEOUT_S):
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


class ExchangeTest(unittest.TestCase):
    def test_a_datagram_that_meets_an_error_ends_only_its_own_handling(self):
        """Guards against one datagram that ends the process with the requests of others."""
        trio.run(self._exchange_after_errors)

    async def _exchange_after_errors(self):
        handle = exchange.Exchange._handle_datagram
        failures = iter([KeyError("i-1"), ExceptionGroup("group", [OverflowError()])])

        def fail_at_first(own_exchange, data):
            failure = next(failures, None)
            if failure is not None:
                raise failure
            return handle(own_exchange, data)

        nodes = new_site("a", 2)
        with mock.patch.object(exchange.Exchange, "_handle_datagram", fail_at_first):
            async with trio.open_nursery() as nursery:
                for node in nodes:
                    nursery.start_soon(node.run)
                nodes[1].loads.add("b0")
                await wait_until(lambda: nodes[0].loads.estimate("b0") == 1)
                nursery.cancel_scope.cancel()

    def test_two_entries_share_load_silent_servers_and_crash_counts(self):
        trio.run(self._exchange)

    async def _exchange(self):
        first, second = new_site("a", 2)
        first.loads.add("s1")
        second.exchange.report_silent("s9")
        for number in range(blame.CRASH_THRESHOLD):
            first.crashes.record_crash("mark", f"s{number}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            nursery.start_soon(second.run)
            await wait_until(lambda: second.loads.estimate("s1"))
            await wait_until(lambda: first.silent)
            nursery.cancel_scope.cancel()
        self.assertTrue(first.health.is_avoided("s9"))
        self.assertTrue(second.crashes.is_blocked("mark"))

    def test_every_entry_receives_the_total_of_all_zones(self):
        """Guards against heads that entries in several zones overload at the same time."""
        trio.run(self._total)

    async def _total(self):
        nodes = new_site("abc", 5)
        async with trio.open_nursery() as nursery:
            for node in nodes:
                node.loads.add("s1")
                nursery.start_soon(node.run)
            await wait_until(lambda: all(node.loads.estimate("s1") == 15 for node in nodes))
            for node in nodes[1:]:
                node.loads.remove("s1")
            await wait_until(lambda: all(node.loads.estimate("s1") == 1 for node in nodes))
            nursery.cancel_scope.cancel()

    def test_an_entry_without_requests_reports_less_often(self):
        """Guards against hundreds of idle entries that keep the aggregators busy."""
        trio.run(self._report_rates)

    async def _report_rates(self):
        nodes = new_site("a", 4)
        busy, idle = nodes[2:]
        busy.loads.add("s1")
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.run)
            await wait_until(lambda: idle.loads.is_settled)
            counts_before = [node.exchange.sent_bytes.total() for node in (busy, idle)]
            await trio.sleep(1.5)
            counts = [node.exchange.sent_bytes.total() for node in (busy, idle)]
            sent = [after - before for before, after in zip(counts_before, counts, strict=True)]
            self.assertGreater(sent[0], 2 * sent[1])
            idle.loads.add("s2")
            await wait_until(lambda: busy.loads.estimate("s2"))
            idle.loads.remove("s2")
            await wait_until(lambda: not busy.loads.estimate("s2"))
            nursery.cancel_scope.cancel()

    def test_the_second_aggregator_takes_over_from_a_dead_one(self):
        """Guards against a zone whose entries lose each other's load when an aggregator dies."""
        trio.run(self._take_over)

    async def _take_over(self):
        nodes = new_site("ab", 5)
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.run)
            nodes[3].loads.add("s1")
            await wait_until(lambda: all(node.loads.estimate("s1") for node in nodes))
            nodes[0].scope.cancel()
            remaining = nodes[1:]
            nodes[3].loads.add("s1")
            await wait_until(lambda: all(node.loads.estimate("s1") == 2 for node in remaining))
            self.assertTrue(nodes[1].exchange.is_active_aggregator)
            nursery.cancel_scope.cancel()

    def test_a_silent_server_is_reported_to_all_zones_immediately(self):
        """Guards against callers that wait for a dead head which another entry has detected."""
        trio.run(self._report_to_all)

    async def _report_to_all(self):
        nodes = new_site("abc", 6)
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.run)
            await wait_until(
                lambda: all(not node.exchange.is_active_aggregator for node in nodes[1:6])
            )
            await trio.sleep(0.5)
            nodes[4].exchange.report_silent("s9")
            await wait_until(lambda: all(node.silent for node in nodes if node is not nodes[4]))
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        # Each entry acts on the report once, however often it is repeated.
        self.assertEqual({1}, {len(node.silent) for node in nodes if node is not nodes[4]})

    def test_a_draining_server_is_announced_to_all_zones(self):
        """Guards against a planner that keeps a leaving server in its group until it is gone."""
        trio.run(self._announce_draining)

    async def _announce_draining(self):
        nodes = new_site("abc", 3)
        server = nodes[0].registry.servers["b0"]
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.run)
            await wait_until(lambda: nodes[8].loads.is_settled)
            leaving = signals.Signals(is_leaving=True)
            nodes[4].draining_table.observe(server, leaving, trio.current_time())
            await wait_until(lambda: all(each.registry.servers["b0"].is_leaving for each in nodes))
            nursery.cancel_scope.cancel()

    def test_a_suspended_server_is_announced_to_all_zones_and_to_entries_that_start(self):
        """Guards against entries that find out by their own requests that a server is dead."""
        trio.run(self._announce_suspension)

    async def _announce_suspension(self):
        nodes = new_site("abc", 3)
        nodes[4].trials.merge(suspensions.Suspension("s1", 1, 7, 1, 2), "")
        async with trio.open_nursery() as nursery:
            for node in nodes[:-1]:
                nursery.start_soon(node.run)
            await wait_until(lambda: all(node.trials.suspended() for node in nodes[:-1]))
            await trio.sleep(suspensions.REPEAT_PERIOD_S + 0.5)
            nursery.start_soon(nodes[-1].run)
            await wait_until(lambda: nodes[-1].trials.suspended())
            nursery.cancel_scope.cancel()

    def test_stopping_entries_and_others_hear_of_each_others_crashes(self):
        """Guards against crashes that only a stopping entry saw, and requests that it sends on."""
        for zones, entries_per_zone in (("a", 2), ("ab", 2), ("ab", 1)):
            trio.run(self._stop_entry, *new_site(zones, entries_per_zone))

    async def _stop_entry(self, stopping, *others):
        async with trio.open_nursery() as nursery:
            for node in (stopping, *others):
                nursery.start_soon(node.run)
            await trio.sleep(0.5)
            for node in others:
                node.entry_list.other_entries.remove(stopping.entry_list.own)
                node.entry_list.departed.append(stopping.entry_list.own)
                node.entry_list.version += 1
            stopping.entry_list.is_stopping = True
            stopping.entry_list.version += 1
            for number in range(blame.CRASH_THRESHOLD):
                stopping.crashes.record_crash("seen-here", f"s{number}")
                others[-1].crashes.record_crash("seen-there", f"t{number}")
            await wait_until(lambda: all(node.crashes.is_blocked("seen-here") for node in others))
            await wait_until(lambda: stopping.crashes.is_blocked("seen-there"))
            nursery.cancel_scope.cancel()

    def test_a_stopping_entry_that_others_still_list_adds_no_load(self):
        """Guards against requests counted again each time two entries report to each other."""
        for zones, entries_per_zone in (("a", 2), ("a", 4), ("ab", 2)):
            with self.subTest(zones, entries_per_zone=entries_per_zone):
                clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_S)
                trio.run(self._count_while_stopping, new_site(zones, entries_per_zone), clock=clock)

    async def _count_while_stopping(self, nodes):
        async with trio.open_nursery() as nursery:
            for node in nodes:
                node.loads.add("s1")
                nursery.start_soon(node.run)
            await trio.sleep(1.0)
            stopping = nodes[0].entry_list
            stopping.is_stopping = True
            stopping.version += 1
            counts = set()
            for _ in range(20):
                await trio.sleep(0.1)
                counts.update(node.loads.estimate("s1") for node in nodes)
            self.assertLessEqual(max(counts), 2 * len(nodes))
            for _ in range(20):
                await trio.sleep(0.1)
                counts = {node.loads.estimate("s1") for node in nodes}
                self.assertEqual({len(nodes)}, counts)
            nursery.cancel_scope.cancel()

    def test_invalid_datagrams_are_ignored(self):
        """Guards against entries that exit or miscount because of a foreign or invalid datagram."""
        trio.run(self._send_invalid)

    async def _send_invalid(self):
        first, second = new_site("a", 2)
        host, port = first.entry_list.own.exchange_address.split(":")
        valid = {
            "kind": "report",
            "entry": second.name,
            "boot": "b1",
            "in_flight": {"s1": 2},
            "silent": {},
            "crashes": [],
        }
        invalid = [
            b"",
            b"\xc1",
            b"x" * 60_000,
            *map(
                msgpack.packb,
                (
                    [1],
                    {"entry": 4},
                    valid | {"in_flight": {"s1": -5}},
                    valid | {"entry": "unknown", "in_flight": {"s1": 7}},
                    valid | {"boot": "replaced", "in_flight": {"s1": 7}},
                    valid | {"kind": "later"},
                    valid | {"recent": {"sent/s1": -5}},
                    valid | {"limits": [{"server_id": "s1", "born_ms": 1}]},
                    valid | {"limits": [new_limit(float("nan"))]},
                    valid | {"limits": [new_limit(-1.0)]},
                    valid | {"leaving": [{"server_id": "s1"}]},
                ),
            ),
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            await trio.sleep(0.05)
            with (
                trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket,
                self.assertLogs(exchange.LOGGER, "WARNING") as logs,
            ):
                for data in [*invalid, *invalid, msgpack.packb(valid)]:
                    await socket.sendto(data, (host, int(port)))
                await wait_until(lambda: first.loads.estimate("s1"))
                self.assertEqual(2, first.loads.estimate("s1"))
            nursery.cancel_scope.cancel()
        # One line each for all undecodable datagrams, an unknown entry and an outdated boot ID.
        self.assertEqual(3, len(logs.output))

    @clocked.on_test_clock
    async def test_datagrams_per_entry_do_not_grow_with_the_number_of_entries(self):
        """Guards against notices that saturate the network with hundreds of entries."""
        receiver_counts = collections.Counter()
        for zones, size in (("abc", 3), ("abcde", 39)):
            entries_in_site = [
                entries.Entry(f"{zone}{n}", zone, "r", "", f"{zone}{n}", "b")
                for zone in zones
                for n in range(size)
            ]
            node = Node("own", "a", 0.1)
            node.entry_list.other_entries = entries_in_site
            receiver_counts[size] = len(node.exchange.upstream())
        self.assertEqual({3: 2, 39: 2}, receiver_counts)

    @clocked.on_test_clock
    async def test_an_entry_without_answering_aggregators_does_not_act_as_one(self):
        """Guards against entries that replace their zone's totals with their own counts."""
        nodes = new_site("a", 4)
        self.assertEqual(
            [True, True, False, False], [node.exchange.is_active_aggregator for node in nodes]
        )

    def test_a_notice_with_thousands_of_servers_fits_a_datagram(self):
        counts = {f"i-{n:016x}": n % 7 for n in range(5000)}
        recent = {f"sent/{name}": 9 for name in counts}
        names = list(counts)
        born_ms = 1_700_000_000_000
        named = [
            limits.Limit(each, born_ms, 9, 1.1) for each in names[: notice_building.MAX_LIMITS]
        ]
        leaving = [
            draining.DrainingServer(each, born_ms) for each in names[: notice_building.MAX_DRAINING]
        ]
        suspended = [
            suspensions.Suspension(each, born_ms, 10**6, 10**6, 4, True)
            for each in names[: notice_building.MAX_SUSPENDED]
        ]
        notice = notices.Notice(
            notices.Kind.DIGEST, "e1", "b1", counts, {}, [], recent, named, leaving, suspended
        )
        data = notices.encode(notice)
        self.assertLess(len(data), notices.DATAGRAM_LIMIT_BYTES)
        self.assertEqual({6}, set(notices.decode(data).in_flight.values()) & {6})

    def test_limits_of_many_servers_are_announced_in_several_notices(self):
        """Guards against limits that are never announced, since a notice holds only some."""
        trio.run(self._announce_many)

    async def _announce_many(self):
        first, second = new_site("a", 2)
        for number in range(3 * notice_building.MAX_LIMITS):
            first.exchange.rate_limiter.limit_table.merge(limits.Limit(f"s{number}", 1, 1, 1.5), "")
        table = second.exchange.rate_limiter.limit_table
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            nursery.start_soon(second.run)
            await wait_until(lambda: len(table.limited()) == 3 * notice_building.MAX_LIMITS, 30)
            nursery.cancel_scope.cancel()
