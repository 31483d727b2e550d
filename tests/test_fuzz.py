"""Properties under generated input: whatever comes in, only the layer's own errors come out."""

import contextlib
import json
import unittest

import hypothesis
import trio
import trio.testing
from hypothesis import strategies

from toucanhold import codec, settings
from toucanhold.backends import client
from toucanhold.configuration import document, holder, snapshot
from toucanhold.peers import frames, messages
from toucanhold.plans import plan
from toucanhold.routing import sse

# The same examples in each run, so that the verdict is the same, too.
fuzzed = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None, print_blob=True
)

names = strategies.text("abcz-/0", min_size=1, max_size=5)
plain = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        names
        | strategies.sampled_from(["inventory", "rules", "vms", "format_version", "services"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)
parts = strategies.builds(
    snapshot.Part, names, strategies.integers(0, 2**40), strategies.binary(max_size=20)
)
deltas = strategies.builds(
    snapshot.Delta,
    strategies.integers(0, 9),
    strategies.integers(0, 9),
    strategies.lists(parts, max_size=3).map(tuple),
)
groups = strategies.builds(
    plan.Group,
    group=names,
    generation=strategies.integers(0, 9),
    service=names,
    members=strategies.lists(names, max_size=4).map(tuple),
)


class PeerMessageTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.binary(max_size=200))
    def test_a_frame_of_any_bytes_is_a_message_or_a_message_error(self, body):
        with contextlib.suppress(messages.MessageError):
            messages.decode(body)

    @fuzzed
    @hypothesis.given(strategies.builds(messages.ConfigurationNews, deltas))
    def test_a_delta_comes_back_as_it_was_sent(self, message):
        self.assertEqual(message, messages.decode(messages.encode(message)))

    @fuzzed
    @hypothesis.given(strategies.lists(groups, max_size=3).map(tuple))
    def test_a_plan_comes_back_as_it_was_sent(self, planned):
        domain = plan.DomainPlan("fabric-1", groups=planned)
        message = messages.PlanNews((plan.VersionedDomainPlan(domain, 7),))
        self.assertEqual(message, messages.decode(messages.encode(message)))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.binary(max_size=60), max_size=5))
    def test_a_stream_of_any_bytes_ends_in_a_frame_error(self, chunks):
        trio.run(self._receive_all, chunks)

    async def _receive_all(self, chunks):
        theirs, ours = trio.testing.memory_stream_pair()
        for chunk in chunks:
            if chunk:
                await theirs.send_all(chunk)
        await theirs.aclose()
        framed = frames.FrameStream(ours, 30)
        with self.assertRaises(frames.FrameError):
            while True:
                self.assertLessEqual(len(await framed.receive()), 30)


class EventStreamTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.lists(strategies.sampled_from([b"data: a", b"id: 7", b"", b"data: [DONE]"])),
        strategies.lists(strategies.integers(1, 9), min_size=1),
        strategies.sampled_from([b"\n", b"\r\n"]),
    )
    def test_events_do_not_depend_on_how_the_bytes_arrive(self, lines, sizes, ending):
        data = b"".join(line + ending for line in lines)
        whole = list(sse.EventSplitter().feed(data))
        splitter, pieces, position, turn = sse.EventSplitter(), [], 0, 0
        while position < len(data):
            size = sizes[turn % len(sizes)]
            pieces += splitter.feed(data[position : position + size])
            position, turn = position + size, turn + 1
        self.assertEqual(
            [(event.event_id, event.data) for event in whole],
            [(event.event_id, event.data) for event in pieces],
        )
        joined = b"".join(event.raw for event in pieces)
        self.assertTrue(data.startswith(joined))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.binary(max_size=50), max_size=6))
    def test_any_bytes_are_split_or_refused(self, chunks):
        splitter = sse.EventSplitter()
        for chunk in chunks:
            for event in splitter.feed(chunk):
                self.assertIsInstance(event.data, bytes)


class DocumentTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(plain)
    def test_any_decoded_file_is_valid_or_told_what_is_wrong(self, value):
        try:
            document.from_plain(value)
        except document.InvalidDocumentError as error:
            self.assertTrue(all(mistake.path for mistake in error.exceptions))

    @fuzzed
    @hypothesis.given(strategies.binary(max_size=80), strategies.sampled_from([".toml", ".json"]))
    def test_any_file_is_valid_or_told_what_is_wrong(self, data, suffix):
        with contextlib.suppress(document.InvalidDocumentError):
            document.parse(data, suffix)


class SettingsTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ["entry", "peers", "callers-address", "seed", "idle-timeout-s"]
            ),
            strategies.text(max_size=20),
        )
    )
    def test_any_flags_are_taken_or_told_what_is_wrong(self, flags):
        with self.assertRaises(settings.InvalidSettingsError):
            settings.load(flags, {})


class ReportTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.dictionaries(names, plain), strategies.text(max_size=5))
    def test_a_report_with_more_fields_than_known_is_still_read(self, more, boot_id):
        # A backend server of a newer version reports more than this system knows; refusing its
        # report would take a healthy server out of service.
        known = {"vm": "vm-1", "boot_id": boot_id, "running": 2}
        body = json.dumps({**more, **known}).encode()
        report = codec.from_json(body, client.Report)
        self.assertEqual(("vm-1", boot_id, 2), (report.vm, report.boot_id, report.running))


class ArrivalOrderTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.lists(deltas, max_size=8))
    def test_the_number_in_force_never_falls(self, arriving):
        held = holder.ConfigurationHolder()
        for delta in arriving:
            before = held.current.number
            with contextlib.suppress(snapshot.SnapshotError):
                held.apply(delta, "test")
            self.assertGreaterEqual(held.current.number, before)

    @fuzzed
    @hypothesis.given(strategies.permutations(range(1, 6)), strategies.integers(0, 4))
    def test_entries_agree_whatever_comes_first(self, order, doubled):
        # Each change is told as what a reader of the number before lacks, and the whole at the
        # end, as peers do after a gap.
        truth = [snapshot.Configuration()]
        for number in range(1, 6):
            part = snapshot.Part(f"unknown/{number % 3}", number, b"{}")
            truth.append(truth[-1].merged(snapshot.Delta(number - 1, number, (part,))))
        held = holder.ConfigurationHolder()
        for number in [*order, order[doubled]]:
            with contextlib.suppress(snapshot.SnapshotError):
                held.apply(truth[number].delta_since(number - 1), "test")
        held.apply(truth[5].delta_since(0), "test")
        self.assertEqual(dict(truth[5].parts), dict(held.current.parts))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.integers(0, 6), max_size=10))
    def test_the_plan_of_a_domain_never_falls_back(self, revisions):
        plans = plan.PlanHolder()
        for revision in revisions:
            domain = plan.DomainPlan("fabric-1", fencing=revision)
            plans.apply(plan.VersionedDomainPlan(domain, revision))
        self.assertEqual(max(revisions, default=0), plans.domain("fabric-1").revision)
