"""Property-based tests: on any input, each layer raises only its own errors."""

import contextlib
import json
import unittest
from unittest import mock

import hypothesis
import trio
import trio.testing
from hypothesis import strategies

from toucanhold import codec, settings
from toucanhold.backends import client, http
from toucanhold.callers import reading
from toucanhold.configuration import document, holder, inventory, rules, snapshot
from toucanhold.membership import roster
from toucanhold.orders import records as claim_records
from toucanhold.peers import frames, messages
from toucanhold.plans import plan
from toucanhold.routing import requests, sse

# Derandomised: each run uses the same examples and so gives the same result.
fuzzed = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None, print_blob=True
)

names = strategies.text("abcz-/0", min_size=1, max_size=5)
# What only lenient readers accept, or what is too much for those that follow.
hostile = strategies.sampled_from(
    (float("nan"), float("inf"), 1e300, 10**30, -(2**63), "\ud800", "a\r\nb", "²", "1" * 5000)
)


def nested(scalars):
    """Return a strategy for lists and maps of scalars."""
    keys = names | strategies.sampled_from(
        ["inventory", "rules", "vms", "format_version", "services"]
    )
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=4)
        | strategies.dictionaries(keys, inner, max_size=4),
        max_leaves=12,
    )


scalars = (
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(max_size=5)
)
plain = nested(scalars)
hostile_plain = nested(scalars | hostile)
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
    def test_any_frame_decodes_or_raises_message_error(self, body):
        with contextlib.suppress(messages.MessageError):
            messages.decode(body)

    @fuzzed
    @hypothesis.given(strategies.builds(messages.ConfigurationNews, deltas))
    def test_configuration_delta_survives_encoding(self, message):
        self.assertEqual(message, messages.decode(messages.encode(message)))

    @fuzzed
    @hypothesis.given(strategies.lists(groups, max_size=3).map(tuple))
    def test_plan_survives_encoding(self, planned):
        domain = plan.DomainPlan("fabric-1", groups=planned)
        message = messages.PlanNews((plan.VersionedDomainPlan(domain, 7),))
        self.assertEqual(message, messages.decode(messages.encode(message)))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.binary(max_size=60), max_size=5))
    def test_any_byte_stream_ends_in_frame_error(self, chunks):
        trio.run(self._receive_all, chunks)

    async def _receive_all(self, chunks):
        sending_end, receiving_end = trio.testing.memory_stream_pair()
        for chunk in chunks:
            if chunk:
                await sending_end.send_all(chunk)
        await sending_end.aclose()
        frame_stream = frames.FrameStream(receiving_end, 30)
        with self.assertRaises(frames.FrameError):
            while True:
                self.assertLessEqual(len(await frame_stream.receive()), 30)


class EventStreamTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.lists(strategies.sampled_from([b"data: a", b"id: 7", b"", b"data: [DONE]"])),
        strategies.lists(strategies.integers(1, 9), min_size=1),
        strategies.sampled_from([b"\n", b"\r\n"]),
    )
    def test_events_do_not_depend_on_chunk_sizes(self, lines, sizes, ending):
        data = b"".join(line + ending for line in lines)
        expected = list(sse.EventSplitter().feed(data))
        splitter, events, position, chunk_index = sse.EventSplitter(), [], 0, 0
        while position < len(data):
            size = sizes[chunk_index % len(sizes)]
            events += splitter.feed(data[position : position + size])
            position, chunk_index = position + size, chunk_index + 1
        self.assertEqual(
            [(event.event_id, event.data) for event in expected],
            [(event.event_id, event.data) for event in events],
        )
        joined = b"".join(event.raw for event in events)
        self.assertTrue(data.startswith(joined))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.binary(max_size=50), max_size=6))
    def test_any_bytes_split_into_events_with_data(self, chunks):
        splitter = sse.EventSplitter()
        for chunk in chunks:
            for event in splitter.feed(chunk):
                self.assertIsInstance(event.data, bytes)


class DocumentTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(hostile_plain)
    def test_any_decoded_document_is_valid_or_errors_have_paths(self, value):
        try:
            document.from_plain(value)
        except document.InvalidDocumentError as error:
            self.assertTrue(all(each.path for each in error.exceptions))

    @fuzzed
    @hypothesis.given(strategies.binary(max_size=80), strategies.sampled_from([".toml", ".json"]))
    def test_any_file_is_valid_or_raises_document_error(self, data, suffix):
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
    def test_any_incomplete_flags_raise_settings_error(self, flags):
        with self.assertRaises(settings.InvalidSettingsError):
            settings.load(flags, {})


class ReportTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.dictionaries(names, plain), strategies.text(max_size=5))
    def test_report_with_unknown_fields_is_decoded(self, unknown_fields, boot_id):
        # A backend server of a newer version reports fields that this version does not know.
        # Rejecting its report would take a healthy server out of service.
        known_fields = {"vm": "vm-1", "boot_id": boot_id, "running": 2}
        body = json.dumps({**unknown_fields, **known_fields}).encode()
        report = codec.from_json(body, client.Report)
        self.assertEqual(("vm-1", boot_id, 2), (report.vm, report.boot_id, report.running))


# Records that other processes write, with valid values of their fields.
RECORDS = (
    plan.DomainPlan("fabric-1", groups=(plan.Group("g", 1, "drafts", ("vm-1",)),)),
    inventory.Inventory((inventory.Vm("vm-1", "127.0.0.1:1", "zone-a"),)),
    rules.Rules(services=(rules.Service("notes", rules.ServiceKind.PLAIN),)),
    snapshot.ZonesOut(("zone-a",), (snapshot.ResolvedHold("h", 1.0),)),
    roster.Member("entry-0", "zone-a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", boot="b"),
    claim_records.ClaimRecord("a", b"f", "entry-0", "b", 5.0),
    client.Report("vm-1", "b"),
)


def spoiled(fields):
    """Return a strategy for ``fields`` with some values replaced."""
    changes = strategies.dictionaries(strategies.sampled_from(sorted(fields)), hostile_plain)
    return strategies.builds(lambda changed: fields | changed, changes)


class RecordTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.data())
    def test_any_record_is_refused_or_can_be_written_again(self, data):
        """Guards against a record whose reader, or a later writer, ends with the process."""
        for record in RECORDS:
            fields = data.draw(spoiled(codec.CONVERTER.unstructure(record)))
            with contextlib.suppress(codec.CodecError):
                decoded = codec.from_plain_tolerant(fields, type(record))
                codec.pack_tagged("record", decoded)
            if isinstance(record, claim_records.ClaimRecord):
                continue
            with contextlib.suppress(codec.CodecError):
                codec.to_json(codec.from_json(json.dumps(fields).encode(), type(record)))

    @fuzzed
    @hypothesis.given(strategies.data())
    def test_any_stored_part_is_refused_or_has_addresses_to_connect_to(self, data):
        """Guards against an inventory that ends the poller of all servers."""
        vm = codec.CONVERTER.unstructure(RECORDS[1].vms[0])
        body = json.dumps({"vms": [data.draw(spoiled(vm))]}).encode()
        part = snapshot.Part(snapshot.INVENTORY_PREFIX + "zone-a", 1, body)
        with contextlib.suppress(snapshot.SnapshotError):
            for decoded in part.decoded.vms:
                http._origin(decoded.address)


class CallerTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.builds(lambda value: json.dumps(value).encode(), spoiled({"model": "drafts"}))
        | strategies.sampled_from((b"[" * 5000, b'{"model": 1e999}', b'{"model": ' + b"9" * 5000))
        | strategies.binary(max_size=20)
    )
    def test_any_body_is_a_request_or_refused(self, body):
        """Guards against bodies of callers that get a status of 500."""
        current = holder.ConfigurationHolder()
        limits = reading.RequestLimits(10_000, 5.0, 10.0)
        reader = reading.RequestReader(current, mock.Mock(), limits, mock.Mock())
        with contextlib.suppress(requests.RequestError):
            reader._model_request({"path": "/v1/chat/completions", "headers": []}, body, "r1")


class ArrivalOrderTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(strategies.lists(deltas, max_size=8))
    def test_configuration_number_never_decreases(self, received_deltas):
        configuration = holder.ConfigurationHolder()
        for delta in received_deltas:
            before = configuration.current.number
            with contextlib.suppress(snapshot.SnapshotError):
                configuration.apply(delta, "test")
            self.assertGreaterEqual(configuration.current.number, before)

    @fuzzed
    @hypothesis.given(strategies.permutations(range(1, 6)), strategies.integers(0, 4))
    def test_entries_converge_whatever_the_order_of_deltas(self, order, repeated_index):
        # Deltas arrive in any order and one arrives twice. The full configuration follows at the
        # end, as peers send it after a gap.
        expected = [snapshot.Configuration()]
        for number in range(1, 6):
            part = snapshot.Part(f"unknown/{number % 3}", number, b"{}")
            expected.append(expected[-1].merged(snapshot.Delta(number - 1, number, (part,))))
        configuration = holder.ConfigurationHolder()
        for number in [*order, order[repeated_index]]:
            with contextlib.suppress(snapshot.SnapshotError):
                configuration.apply(expected[number].delta_since(number - 1), "test")
        configuration.apply(expected[5].delta_since(0), "test")
        self.assertEqual(dict(expected[5].parts), dict(configuration.current.parts))

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.integers(0, 6), max_size=10))
    def test_plan_revision_of_a_domain_never_decreases(self, revisions):
        plans = plan.PlanHolder()
        for revision in revisions:
            domain = plan.DomainPlan("fabric-1", fencing=revision)
            plans.apply(plan.VersionedDomainPlan(domain, revision))
        self.assertEqual(max(revisions, default=0), plans.domain("fabric-1").revision)
