"""Secrets are rotated while the system runs."""

import io
import json
import unittest

import trio
import trio.testing

from standins import site as sites
from toucanhold import keyring, settings
from toucanhold.orders import keys
from toucanhold.peers import frames, handshake

OLD, NEW = "old-key-of-sixteen", "new-key-of-sixteen"
ROUNDS = (OLD, f"{OLD},{NEW}", f"{NEW},{OLD}", NEW)


async def _handshake(dialler: str, listener: str) -> tuple[bool, bool]:
    dialler_end, listener_end = trio.testing.memory_stream_pair()
    outcomes = {}

    async def run_side(run_handshake, stream, name, secrets):
        frame_stream = frames.FrameStream(stream, handshake.HANDSHAKE_FRAME_LIMIT_BYTES)
        try:
            with trio.fail_after(5):
                await run_handshake(
                    frame_stream, handshake.Identity(name, "1"), keyring.from_text(secrets)
                )
            outcomes[name] = True
        except (handshake.HandshakeError, frames.FrameError):
            outcomes[name] = False
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_side, handshake.run_as_dialler, dialler_end, "a", dialler)
        nursery.start_soon(run_side, handshake.run_as_listener, listener_end, "b", listener)
    return outcomes["a"], outcomes["b"]


class RotationTest(unittest.TestCase):
    def test_entries_of_adjacent_rounds_accept_each_other(self):
        # The operator rotates the secret in rounds, entry by entry. Entries must stay connected in
        # each round, or holds and revisions would not reach all of them.
        for earlier_round, later_round in zip(ROUNDS, ROUNDS[1:], strict=False):
            for dialler, listener in ((earlier_round, later_round), (later_round, earlier_round)):
                with self.subTest(dialler=dialler, listener=listener):
                    clock = trio.testing.MockClock(autojump_threshold=0)
                    outcome = trio.run(_handshake, dialler, listener, clock=clock)
                    self.assertEqual((True, True), outcome)

    def test_skipping_the_rounds_disconnects_the_entries(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual((False, False), trio.run(_handshake, OLD, NEW, clock=clock))

    def test_order_keys_survive_one_round(self):
        issued = keys.KeySigner(keyring.from_text(ROUNDS[1])).issue("a", "boot", "growers", 9.0)
        reader = keys.KeySigner(keyring.from_text(ROUNDS[2]))
        self.assertEqual("a", reader.verify(issued, "growers").entry)
        with self.assertRaises(keys.InvalidKeyError):
            keys.KeySigner(keyring.from_text(NEW)).verify(issued, "growers")

    def test_secrets_are_not_printed(self):
        output = io.StringIO()
        print(keyring.from_text(f"{OLD},{NEW}"), file=output)
        self.assertNotIn(OLD, output.getvalue())
        with self.assertRaises(settings.InvalidSettingsError) as caught:
            settings.load({"peer-key": f"{OLD},short"}, {})
        self.assertNotIn("short", str(caught.exception.exceptions))

    def test_operators_may_use_either_token(self):
        trio.run(self._request_with_each_token)

    async def _request_with_each_token(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "releases", 0, 1)
        site.entry_variables["TOUCANHOLD_OPERATOR_TOKEN"] = f"{OLD}, {NEW}"
        async with sites.running(site):
            url = f"http://{site.entries[0].operators}/operators/v1/status"
            for token, status in ((OLD, 200), (NEW, 200), (f"{OLD}, {NEW}", 401), ("no", 401)):
                headers = {"authorization": f"Bearer {token}"}
                answer = await sites.call("GET", url, headers=headers)
                self.assertEqual(status, answer.status, json.dumps(token))
