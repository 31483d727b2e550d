"""Each check catches a deliberately broken variant of the program, and is silent without it."""

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


def _call(own: site.Site, name: str, entry_name: str, kind: str, key: str = "") -> None:
    sent = history.Sent(name, entry_name, kind, f"about-{name}", key)
    own.nursery.start_soon(own.call, sent)


async def _calls(own: site.Site, kind: str, count: int, interval_s: float) -> None:
    for number in range(count):
        _call(own, f"{kind}{number}", f"entry-{1 + number % 3}", kind)
        await trio.sleep(interval_s)


async def _calls_while_groups_form(own: site.Site) -> None:
    own.nursery.start_soon(_groups_form, own)
    await trio.sleep(2.1)
    await _calls(own, "chat", 40, 0.1)


async def _groups_form(own: site.Site) -> None:
    for name in own.names():
        own.start_entry(name)
    await trio.sleep(2)
    await own.apply("entry-1", own.document(), 0)
    await trio.sleep(8)


async def _many_at_once(own: site.Site) -> None:
    await site.serve_first(own)
    own.servers["as"].turn_cold()
    own.servers["bs"].turn_cold()
    await trio.sleep(3)
    await _calls(own, "order", 12, 0)
    await trio.sleep(4)


async def _zone_out(own: site.Site) -> None:
    await site.serve_first(own)
    await own.set_zone("entry-1", "a", True)
    await _calls(own, "lookup", 60, 0.2)


async def _server_leaves(own: site.Site) -> None:
    await site.serve_first(own)
    faults.leave(own, "as")
    await _calls(own, "lookup", 60, 0.2)


async def _stream_is_cut(own: site.Site) -> None:
    await site.serve_first(own)
    await trio.sleep(3)
    _call(own, "s1", "entry-1", "stream")
    await trio.sleep(0.3)
    for zone in own.plan.zones:
        faults.dark(own, zone)
    await own.wait(lambda: not own.waiting_calls, 30)


async def _server_dies_with_order(own: site.Site) -> None:
    await site.serve_first(own)
    for number in range(4):
        _call(own, f"o{number}", "entry-1", "order", f"k{number}")
        await trio.sleep(0.5)
    _call(own, "o9", "entry-2", "order", "k9")
    await trio.sleep(0.1)
    for _, run in own.history.of(history.RunStarted):
        if run.key == "k9":
            faults.kill_vm(own, run.vm)
    await trio.sleep(3)


async def _entry_stops(own: site.Site) -> None:
    await site.serve_first(own)
    await trio.sleep(3)
    _call(own, "s1", "entry-1", "stream")
    await trio.sleep(0.1)
    own.stop_entry("entry-1")
    await trio.sleep(5)


async def _late_message(own: site.Site) -> None:
    await site.serve_first(own)
    configuration = own.entries["entry-2"].app.configuration
    old = configuration.current.delta_since(0)
    await own.set_zone("entry-1", "a", True)
    await trio.sleep(1)
    configuration.apply(old, "a late peer")
    await trio.sleep(1)


class _AnyMembers(placement.FirstFit):
    """Forms a group of the same two VMs for each wanted replica."""

    def place(self, facts: placement.PlacementInput) -> placement.Placement:
        groups = [plan.Group(f"fabric-b/{n}", n, "drafts", ("b1", "b2")) for n in (8, 9)]
        return placement.Placement((plan.DomainPlan("fabric-b", 0, 9, tuple(groups)),))


def _apply_anything(self: holder.ConfigurationHolder, delta: snapshot.Delta, source: str) -> bool:
    changed = delta.number != self.current.number
    parts = dict(self.current.parts) | {part.name: part for part in delta.parts}
    self.current = snapshot.from_parts(delta.number, parts)
    self._changed.set()
    self._changed = trio.Event()
    return changed


async def _end_cleanly(send: asgi.Send, *_: object) -> None:
    await asgi.write(send, b"", False)


async def _stop_at_once(self: entry.EntryApplication) -> None:
    await trio.lowlevel.checkpoint()


def _never_ran(error: requests.RequestError, request_id: str, body=problems.body) -> bytes:
    outcome = requests.Outcome.DID_NOT_RUN
    return body(requests.RequestError(error.problem, outcome, error.detail), request_id)


MUTANTS = {
    promises.whole_groups: (
        _calls_while_groups_form,
        (candidates.CandidateFinder, "_is_group_complete", lambda *_: True),
    ),
    promises.one_group_per_vm: (_groups_form, (spreading, "Spreading", _AnyMembers)),
    promises.cold_servers: (_many_at_once, (cold.SharedLimit, "request_limit", lambda *_: 100)),
    promises.zones_out: (
        _zone_out,
        (candidates.CandidateFinder, "_is_usable", lambda *_: True),
    ),
    promises.whole_answers: (_stream_is_cut, (app, "_abort_stream", _end_cleanly)),
    promises.true_refusals: (_server_dies_with_order, (problems, "body", _never_ran)),
    promises.at_most_once: (
        _server_dies_with_order,
        (rules.Service, "may_repeat", lambda *_: True),
    ),
    promises.leaving_servers: (_server_leaves, (view.BackendView, "is_leaving", lambda *_: False)),
    promises.graceful_stops: (_entry_stops, (entry.EntryApplication, "stop", _stop_at_once)),
    promises.configurations: (
        _late_message,
        (holder.ConfigurationHolder, "apply", _apply_anything),
    ),
}


class MutantTest(unittest.TestCase):
    def test_matrix_catches_an_entry_that_works_on_an_old_configuration(self):
        # An entry that reaches neither the platform nor a peer gives an availability zone new
        # work long after it was taken out: it goes on with the configuration that it has.
        cell = matrix.by_name("take-out.asked.other-isolated")
        self.assertTrue(matrix.run(cell)[0].passed)
        with mock.patch.object(permit.WorkPermit, "refusal", lambda *_: None):
            verdict, _ = matrix.run(cell)
        self.assertIn("zones_out", verdict.problems[0])

    def test_there_is_a_mutant_for_each_promise(self):
        self.assertEqual(set(promises.PROMISES), set(MUTANTS))


def _breaches(check, drive) -> list[str]:
    return list(check(steps.record_of(site.run(site.Plan(), drive))))


def _test_caught(check):
    def test(self):
        drive, (target, name, variant) = MUTANTS[check]
        with mock.patch.object(target, name, variant):
            self.assertTrue(_breaches(check, drive), "the check did not catch its mutant")

    return test


def _test_silent(check):
    def test(self):
        drive, _ = MUTANTS[check]
        self.assertEqual([], _breaches(check, drive))

    return test


for _check in promises.PROMISES:
    setattr(MutantTest, f"test_{_check.__name__}_catches_its_mutant", _test_caught(_check))
    setattr(MutantTest, f"test_{_check.__name__}_is_silent_without", _test_silent(_check))
