"""Mutation tests of the checks: each detects its mutant and reports nothing without it."""

import unittest
from unittest import mock

import trio

from tests.proof import faults, history, matrix, promises, site, steps
from toucanhold import asgi, entry
from toucanhold.callers import app, problems
from toucanhold.configuration import holder, rules, snapshot
from toucanhold.membership import permit
from toucanhold.observing import view
from toucanhold.planning import placement, spreading
from toucanhold.plans import plan
from toucanhold.routing import candidates, cold, requests


def _start_call(testbed: site.Site, name: str, entry_name: str, kind: str, key: str = "") -> None:
    sent = history.RequestSent(name, entry_name, kind, f"about-{name}", key)
    testbed.nursery.start_soon(testbed.call, sent)


async def _start_calls(testbed: site.Site, kind: str, count: int, interval_s: float) -> None:
    for number in range(count):
        _start_call(testbed, f"{kind}{number}", f"entry-{1 + number % 3}", kind)
        await trio.sleep(interval_s)


async def _call_while_groups_form(testbed: site.Site) -> None:
    testbed.nursery.start_soon(_form_groups, testbed)
    await trio.sleep(2.1)
    await _start_calls(testbed, "chat", 40, 0.1)


async def _form_groups(testbed: site.Site) -> None:
    for name in testbed.entry_names():
        testbed.start_entry(name)
    await trio.sleep(2)
    await testbed.apply("entry-1", testbed.document(), 0)
    await trio.sleep(8)


async def _send_orders_at_once(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    testbed.servers["as"].turn_cold()
    testbed.servers["bs"].turn_cold()
    await trio.sleep(3)
    await _start_calls(testbed, "order", 12, 0)
    await trio.sleep(4)


async def _take_zone_out(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    await testbed.set_zone("entry-1", "a", True)
    await _start_calls(testbed, "lookup", 60, 0.2)


async def _make_server_leave(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    faults.start_leaving(testbed, "as")
    await _start_calls(testbed, "lookup", 60, 0.2)


async def _cut_stream(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    await trio.sleep(3)
    _start_call(testbed, "s1", "entry-1", "stream")
    await trio.sleep(0.3)
    for zone in testbed.layout.zones:
        faults.power_off_zone(testbed, zone)
    await testbed.wait_until(lambda: not testbed.pending_calls, 30)


async def _kill_server_with_order(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    for number in range(4):
        _start_call(testbed, f"o{number}", "entry-1", "order", f"k{number}")
        await trio.sleep(0.5)
    _start_call(testbed, "o9", "entry-2", "order", "k9")
    await trio.sleep(0.1)
    for _, run in testbed.history.events_of(history.RunStarted):
        if run.key == "k9":
            faults.kill_vm(testbed, run.vm)
    await trio.sleep(3)


async def _stop_entry(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    await trio.sleep(3)
    _start_call(testbed, "s1", "entry-1", "stream")
    await trio.sleep(0.1)
    testbed.stop_entry("entry-1")
    await trio.sleep(5)


async def _deliver_late_configuration(testbed: site.Site) -> None:
    await site.start_serving(testbed)
    configuration = testbed.entries["entry-2"].app.configuration
    old = configuration.current.delta_since(0)
    await testbed.set_zone("entry-1", "a", True)
    await trio.sleep(1)
    configuration.apply(old, "a late peer")
    await trio.sleep(1)


class _SameMembersPlacement(placement.FirstFit):
    """Places each wanted replica on the same two VMs."""

    def place(self, inputs: placement.PlacementInput) -> placement.Placement:
        groups = [
            plan.Group(f"fabric-b/{generation}", generation, "drafts", ("b1", "b2"))
            for generation in (8, 9)
        ]
        return placement.Placement((plan.DomainPlan("fabric-b", 0, 9, tuple(groups)),))


def _apply_any_configuration(
    self: holder.ConfigurationHolder, delta: snapshot.Delta, source: str
) -> bool:
    changed = delta.number != self.current.number
    parts = dict(self.current.parts) | {part.name: part for part in delta.parts}
    self.current = snapshot.from_parts(delta.number, parts)
    self._changed.set()
    self._changed = trio.Event()
    return changed


async def _end_stream_cleanly(send: asgi.Send, *_: object) -> None:
    await asgi.write(send, b"", False)


async def _stop_immediately(self: entry.EntryApplication) -> None:
    await trio.lowlevel.checkpoint()


def _claim_did_not_run(error: requests.RequestError, request_id: str, body=problems.body) -> bytes:
    outcome = requests.Outcome.DID_NOT_RUN
    return body(requests.RequestError(error.problem, outcome, error.detail), request_id)


MUTANTS = {
    promises.complete_groups: (
        _call_while_groups_form,
        (candidates.CandidateFinder, "_is_group_complete", lambda *_: True),
    ),
    promises.one_group_per_vm: (_form_groups, (spreading, "Spreading", _SameMembersPlacement)),
    promises.cold_servers: (
        _send_orders_at_once,
        (cold.SharedLimit, "request_limit", lambda *_: 100),
    ),
    promises.zones_out: (
        _take_zone_out,
        (candidates.CandidateFinder, "_is_usable", lambda *_: True),
    ),
    promises.whole_answers: (_cut_stream, (app, "_abort_stream", _end_stream_cleanly)),
    promises.true_refusals: (_kill_server_with_order, (problems, "body", _claim_did_not_run)),
    promises.at_most_once: (
        _kill_server_with_order,
        (rules.Service, "may_repeat", lambda *_: True),
    ),
    promises.leaving_servers: (
        _make_server_leave,
        (view.BackendView, "is_leaving", lambda *_: False),
    ),
    promises.graceful_stops: (_stop_entry, (entry.EntryApplication, "stop", _stop_immediately)),
    promises.configurations: (
        _deliver_late_configuration,
        (holder.ConfigurationHolder, "apply", _apply_any_configuration),
    ),
}


class MutantTest(unittest.TestCase):
    def test_matrix_detects_an_entry_that_uses_an_old_configuration(self):
        # Guards against a matrix that misses new work in an availability zone long after its
        # take-out. An entry that reaches neither the platform nor a peer keeps its old
        # configuration.
        cell = matrix.by_name("take-out.asked.other-isolated")
        self.assertTrue(matrix.run(cell)[0].passed)
        with mock.patch.object(permit.WorkPermit, "refusal", lambda *_: None):
            verdict, _ = matrix.run(cell)
        self.assertIn("zones_out", verdict.problems[0])

    def test_there_is_a_mutant_for_each_promise(self):
        self.assertEqual(set(promises.PROMISES), set(MUTANTS))


def _violations(check, scenario) -> list[str]:
    return list(check(steps.new_run_record(site.run(site.SiteLayout(), scenario))))


def _new_detection_test(check):
    def test(self):
        scenario, (target, name, mutant) = MUTANTS[check]
        with mock.patch.object(target, name, mutant):
            self.assertTrue(_violations(check, scenario), "the check did not catch its mutant")

    return test


def _new_silence_test(check):
    def test(self):
        scenario, _ = MUTANTS[check]
        self.assertEqual([], _violations(check, scenario))

    return test


for _check in promises.PROMISES:
    setattr(MutantTest, f"test_{_check.__name__}_catches_its_mutant", _new_detection_test(_check))
    setattr(MutantTest, f"test_{_check.__name__}_is_silent_without", _new_silence_test(_check))
