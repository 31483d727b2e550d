"""Property-based tests: whatever other processes write ends no reader, nor what uses it later."""

import contextlib
import functools
import json
import logging
import random
import unittest

import attrs
import h11
import hypothesis
import msgpack
import trio
import trio.testing
from hypothesis import strategies

from standins import gateways
from tests.platform import test_platform_parsing as examples
from toucanhold import codec, parsing
from toucanhold.backends import http
from toucanhold.coordination import etcd, keyvalue
from toucanhold.gateway import calls, crash_store, entries, limit_shares, notices, retry_loans
from toucanhold.peers import transport
from toucanhold.platform import configuration, entry, front, registrations, servers, settings, store
from toucanhold.platform import signals as platform_signals
from toucanhold.relay import messages as relay_messages
from toucanhold.replicas import plan, records
from toucanhold.routing import resuming
from toucanhold.tunnels import dialing
from toucanhold.tunnels import messages as tunnel_messages

fuzzed = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None, print_blob=True
)

# Stand for literals that json.dumps does not write.
LITERALS = {"@big": "1e999", "@long": "9" * 400, "@deep": "[" * 5000 + "]" * 5000}
SERVER_KEY = "servers/i-1"
ADDRESSES = ("10.0.0.1", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:99999", "a..b:1", "::1:80", ":1")

numbers = strategies.sampled_from(
    (float("nan"), float("inf"), 1e300, -1, -1e300, 0, 1, 2.5, 10**30, 2**63, True, "@big", "@long")
)
texts = strategies.text(max_size=4) | strategies.sampled_from(
    ("\ud800", "a\r\nb", "\x00", " ", "²", "x" * 5000, *ADDRESSES)
)
values = strategies.recursive(
    strategies.none() | numbers | texts | strategies.just("@deep"),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.sampled_from(("name", "state", "epoch", "x")), inner),
    max_leaves=5,
)


def encode(value):
    """Return JSON text with literals that no sound writer would use."""
    text = json.dumps(value)
    for name, literal in LITERALS.items():
        text = text.replace(f'"{name}"', literal)
    return text.encode()


def spoiled(fields):
    """Return a strategy for texts of ``fields`` with some values replaced or left out."""
    changes = strategies.dictionaries(strategies.sampled_from(sorted(fields)), values, max_size=2)
    removed = strategies.sets(strategies.sampled_from(sorted(fields)), max_size=1)
    return strategies.builds(
        lambda changed, left_out: encode(
            {name: value for name, value in (fields | changed).items() if name not in left_out}
        ),
        changes,
        removed,
    ) | strategies.binary(max_size=30)


def unstructured(value):
    return codec.CONVERTER.unstructure(value)


OTHER_ENTRY = entries.Entry("e1", "z", "r", "10.0.0.1:80", "10.0.0.1:81", "b1", 1.0, "10.0.0.1:82")
registration_texts = spoiled(examples.REGISTRATION)
group_records = spoiled(
    unstructured(
        records.GroupRecord("g1", "llm", "m0", (records.Member("i-1", 1, "10.0.0.1:80", "z"),))
    )
)
configuration_texts = strategies.one_of(
    spoiled(examples.CONFIGURATION),
    spoiled(examples.ROUTE).map(
        lambda text: encode(examples.CONFIGURATION | {"routes": ["@r"]}).replace(b'"@r"', text)
    ),
)
stored_items = {
    SERVER_KEY: registration_texts,
    records.GROUPS_PREFIX + "g1": group_records,
    configuration.CONFIGURATION_KEY: configuration_texts,
    entries.ENTRIES_PREFIX + "e1/b1": spoiled(unstructured(OTHER_ENTRY)),
    limit_shares.PREFIX + "01": spoiled({"entry": "e1", "boot": "b1"}),
    crash_store.PREFIX + "k": spoiled({"count": 3, "crashed_unix_s": 5.0}),
    plan.PLANNER_KEY: strategies.binary(max_size=9),
}

ITEMS_WITH_NAN = {
    SERVER_KEY: encode(examples.REGISTRATION | {"slots": float("nan")}),
    configuration.CONFIGURATION_KEY: encode(examples.CONFIGURATION | {"version": float("nan")}),
}
ITEMS_OUT_OF_RANGE = {
    SERVER_KEY: encode(examples.REGISTRATION | {"born": "@big", "cold_left_ms": "@long"}),
    configuration.CONFIGURATION_KEY: encode(examples.CONFIGURATION | {"version": "@big"}),
}


def setUpModule():
    logging.disable(logging.CRITICAL)


def tearDownModule():
    logging.disable(logging.NOTSET)


def on_clock(function):
    """Run a property with trio's test clock."""

    @functools.wraps(function)
    def run(self, **arguments):
        main = functools.partial(function, self, **arguments)
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


class StoredItemTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(written=strategies.fixed_dictionaries({}, optional=stored_items))
    @hypothesis.example(written=ITEMS_WITH_NAN)
    @hypothesis.example(written=ITEMS_OUT_OF_RANGE)
    @on_clock
    async def test_no_stored_item_ends_an_entry_or_hides_sound_ones(self, written):
        """Guards against one item of another writer that ends the processes of all entries."""
        parsed = settings.parse(examples.SETTINGS)
        built = entry.PlatformEntry(parsed, lambda: parsed)
        items = [keyvalue.Item(key, value, 5, 6) for key, value in written.items()]
        items.append(examples.item("servers/i-2", examples.REGISTRATION))
        built.kv_mirror.replace(keyvalue.RangeResult(6, tuple(items)))
        self.assertIn("i-2", built.server_registry.servers)
        built.entry_list.serving()
        for server in built.server_registry.servers.values():
            self._use(server)
        if built.routes.table is not None:
            for prefixes in built.routes.table.routes.values():
                for route in prefixes.values():
                    route.draw_service(random.Random(1))

    def _use(self, server):
        servers._http_connection(server, dialing.Connection(None))
        forwarded = calls.ForwardedCall(gateways.new_call("/"), "", 1.0, None, False)
        request = servers._request(server, forwarded)
        h11.Request(method=request.method, target=request.url.target, headers=request.headers)
        json.dumps(attrs.asdict(server), default=str)


class RegistrationTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(text=registration_texts, key=texts)
    @on_clock
    async def test_any_registration_is_usable_or_names_no_server(self, text, key):
        server = registrations.decode(keyvalue.Item("servers/" + key, text))
        if server is not None:
            parsing.ip_address(server.address)
            self.assertLess(server.cold_until_s, 1e6)
            self.assertLessEqual(server.slots, registrations.MAX_SLOTS)


class StoreAnswerTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        spoiled({"items": [], "events": [], "store_revision": 5, "has_more": False})
        | spoiled({"key": "k", "value": "eA==", "revision": 2, "create_rev": 1, "lease": 0}).map(
            lambda text: b'{"store_revision": 5, "events": [%s], "items": [%s]}' % (text, text)
        )
    )
    def test_any_answer_of_the_store_is_read_or_an_error_of_the_call(self, text):
        with contextlib.suppress(keyvalue.KeyValueError):
            fields = store._parse_object("/kv-range", text)
            store._get_int(fields, "store_revision")
            for name in ("items", "events"):
                for change in store._parse_readable(fields, name):
                    codec.pack_tagged("change", change)

    @fuzzed
    @hypothesis.given(
        spoiled({"header": {"revision": "7"}, "kvs": [{"key": "aw==", "mod_revision": "1"}]})
    )
    def test_any_answer_of_the_gateway_is_read_or_an_error_of_the_call(self, text):
        with contextlib.suppress(keyvalue.KeyValueError):
            fields = etcd._parse_object(text)
            etcd._parse_revision(fields)
            list(map(etcd._parse_item, etcd._parse_items(fields)))
        with contextlib.suppress(keyvalue.KeyValueError):
            etcd._parse_watch_line(text)


class ServerAnswerTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(text=spoiled({"seq": 2, "models": [], "group": {"name": "g", "epoch": 1}}))
    @on_clock
    async def test_any_report_is_read_or_missing(self, text):
        """Guards against a report that ends the planner's process."""
        client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter)

        async def answer(*arguments):
            return 200, text

        client._control_call = answer
        report = await client.probe(gateways.new_servers(1)["b0"], lambda: None)
        if report is not None:
            self.assertGreaterEqual(report.order_count, 0)

    @fuzzed
    @hypothesis.given(strategies.lists(strategies.binary(max_size=12), max_size=3))
    def test_any_signal_is_read_or_ignored(self, header_values):
        lines = [
            (name, value)
            for name in (b"server-limit", b"retry-after", b"server-leaving")
            for value in header_values
        ]
        decoded = platform_signals.SignalDecoder().decode("i-1", 503, lines)
        self.assertLess(decoded.backoff_s, 1e9)

    @fuzzed
    @hypothesis.given(strategies.binary(max_size=9) | strategies.just(b"9" * 5000))
    def test_any_event_id_is_a_number_or_a_gap(self, event_id):
        with contextlib.suppress(resuming.StreamGapError):
            resuming._parse_event_id(event_id)

    @fuzzed
    @hypothesis.given(spoiled({"error": {"type": "busy"}}))
    def test_any_error_body_has_a_type_or_none(self, text):
        self.assertIsInstance(http.error_type(text), str)


class PeerInputTest(unittest.TestCase):
    def _packed(self, value):
        with contextlib.suppress(ValueError, OverflowError):
            return msgpack.packb(value)
        return b""

    @fuzzed
    @hypothesis.given(strategies.binary(max_size=80) | values.map(encode))
    def test_any_datagram_or_frame_is_read_or_refused(self, data):
        for decode, error in (
            (notices.decode, notices.NoticeError),
            (retry_loans.decode, retry_loans.LoanMessageError),
            (relay_messages.decode, relay_messages.MessageError),
            (tunnel_messages.decode, tunnel_messages.MessageError),
        ):
            with contextlib.suppress(error):
                decode(data)

    @fuzzed
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ("in_flight", "recent", "limits", "crash_reports", "sound", "boot", "kind")
            ),
            values | strategies.dictionaries(strategies.just("i-1"), numbers),
        )
    )
    def test_any_notice_can_be_sent_on(self, fields):
        """Guards against a number in a datagram that no notice of this entry can hold."""
        notice = notices.Notice(notices.Kind.REPORT, "e1", "b1", {}, {}, [])
        data = self._packed(unstructured(notice) | fields)
        with contextlib.suppress(notices.NoticeError):
            self.assertTrue(notices.encode(notices.decode(data)))

    @fuzzed
    @hypothesis.given(address=texts)
    @on_clock
    async def test_no_address_ends_what_connects_to_it(self, address):
        hypothesis.assume(not address.endswith((":1", ":80")))
        with self.assertRaises(transport.TransportError):
            await transport.TcpTransport().connect(address)


class CallerInputTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    (
                        b"x-deadline-remaining-ms",
                        b"last-event-id",
                        b"x-token-usage",
                        b"x-length-hint",
                        b"x-prompt-prefix",
                        b"host",
                    )
                ),
                strategies.binary(max_size=9)
                | strategies.sampled_from((b"9" * 5000, b"\xb2", b"9" * 400, b"1,2", b"-1")),
            ),
            max_size=6,
        )
    )
    def test_any_headers_make_a_call(self, headers):
        """Guards against numbers in headers that callers get a status of 500 for."""
        scope = {"method": "POST", "raw_path": b"/", "query_string": b"", "headers": headers}
        self.assertIsInstance(front.read_call(scope, b"", 0.0).deadline_s, float)


class SettingsTest(unittest.TestCase):
    @fuzzed
    @hypothesis.given(
        strategies.sampled_from(("retry_slack = ", "stall_ms = ", "grace_s = ", "front = ")),
        strategies.sampled_from(("nan", "inf", "-1", "1e300", "true", '"x"', "[]", '"a:b"')),
    )
    def test_any_value_is_valid_or_a_settings_error(self, name, literal):
        """Guards against a reload of settings that ends the process."""
        lines = [
            name + literal if line.startswith(name) else line
            for line in examples.SETTINGS.splitlines()
        ]
        with self.assertRaises(settings.SettingsError):
            settings.parse("\n".join(lines))
