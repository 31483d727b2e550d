"""Orders under keys issued by an entry need no key-value service and run at most once."""

from unittest import mock

import trio

from standins import orders as order_fakes
from tests import test_orders
from toucanhold import keyring
from toucanhold.orders import issued, keys


class OrderKeyTest(test_orders.OrderTest):
    """Runs tests with entries "a" and "b" in each other's rosters."""

    def with_peers(self, body):
        async def introduced(store, sender, a, b):
            for entry, other in ((a, b), (b, a)):
                entry.order_handler.issued_executor.roster.update_from_peer(
                    other.order_handler.issued_executor.roster.own
                )
            await body(store, sender, a, b)

        self.with_entries(introduced)

    def test_orders_run_in_an_outage_without_a_platform_call(self):
        async def body(store, sender, a, b):
            store.is_down = True
            key = a.issue_key()
            for _ in range(3):
                answer = await a.send_order(order_fakes.new_request(key))
                self.assertEqual((200, "ran", b"done"), answer)
            self.assertEqual((1, 0), (len(sender.executed_ids), store.calls.total()))

        self.with_peers(body)

    def test_other_entry_refuses_and_names_the_issuer(self):
        async def body(store, sender, a, b):
            answer = await b.send_order(order_fakes.new_request(a.issue_key()))
            self.assertEqual(("wrong-entry", "did-not-run"), answer[:2])
            with self.assertRaises(Exception) as caught:
                async with b.order_handler.serve(order_fakes.new_request(a.issue_key())):
                    pass
            self.assertEqual("127.0.0.1:1", caught.exception.entry_address)
            self.assertEqual([], sender.executed_ids)

        self.with_peers(body)

    def test_key_of_an_ended_process_is_never_run(self):
        # Entry "a" ran the order and was killed. Its successor of the same name and entry "b" do
        # not know the outcome, so both must report it as unknown and must not run the order.
        async def body(store, sender, a, b):
            key = a.issue_key()
            await a.send_order(order_fakes.new_request(key))
            a.kill()
            b.order_handler.issued_executor.roster.remove("a")
            restarted = order_fakes.new_entry("a", store, sender)
            for entry in (b, restarted):
                answer = await entry.send_order(order_fakes.new_request(key))
                self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            store.is_down = True
            self.assertEqual("unknown", (await b.send_order(order_fakes.new_request(key)))[1])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_peers(body)

    def test_planned_stop_stores_the_outcomes(self):
        async def body(store, sender, a, b):
            used = [a.issue_key() for _ in range(100)]
            for key in used:
                await a.send_order(order_fakes.new_request(key))
            self.assertEqual(0, await a.order_handler.drain(timeout_s=30))
            a.kill()
            b.order_handler.issued_executor.roster.remove("a")
            for key in used:
                answer = await b.send_order(order_fakes.new_request(key))
                self.assertEqual((200, "ran", b"done"), answer)
            other = await b.send_order(order_fakes.new_request(used[0], body=b"other"))
            self.assertEqual("key-reused", other[0])
            self.assertEqual(100, len(sender.executed_ids))

        self.with_peers(body)

    def test_repeats_of_a_running_order_and_reuse_of_its_key(self):
        async def body(store, sender, a, b):
            sender.processing_s = 5.0
            key = a.issue_key()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(a.send_order, order_fakes.new_request(key))
                await trio.sleep(1)
                self.assertEqual(
                    "in-progress", (await a.send_order(order_fakes.new_request(key)))[0]
                )
                other = await a.send_order(order_fakes.new_request(key, path="/valves/8"))
                self.assertEqual(("key-reused", "did-not-run"), other[:2])
            self.assertEqual(1, len(sender.executed_ids))

        self.with_peers(body)

    def test_order_that_did_not_run_may_be_repeated(self):
        async def body(store, sender, a, b):
            sender.behaviours = ["not-sent", "lost-after-run"]
            key = a.issue_key()
            outcomes = [(await a.send_order(order_fakes.new_request(key)))[1] for _ in range(3)]
            self.assertEqual(["did-not-run", "unknown", "unknown"], outcomes)
            self.assertEqual(1, len(sender.executed_ids))

        self.with_peers(body)

    def test_expired_key_is_never_run_and_is_forgotten(self):
        # An entry forgets used keys after they expire. A repeat after that must not run the order
        # a second time.
        async def body(store, sender, a, b):
            used, unused = a.issue_key(), a.issue_key()
            await a.send_order(order_fakes.new_request(used))
            await trio.sleep(keys.VALID_S + 1)
            for key in (used, unused):
                answer = await a.send_order(order_fakes.new_request(key))
                self.assertEqual(("outcome-unknown", "unknown"), answer[:2])
            self.assertEqual(1, len(sender.executed_ids))
            self.assertFalse(a.order_handler.issued_executor._used_keys)

        self.with_peers(body)

    def test_memory_is_bounded_and_no_valid_key_is_forgotten(self):
        async def body(store, sender, a, b):
            with (
                mock.patch.object(issued, "MAX_USED_KEYS", 3),
                mock.patch.object(issued, "MAX_KEPT_ANSWERS_BYTES", 10),
            ):
                used = [a.issue_key() for _ in range(4)]
                answers = [(await a.send_order(order_fakes.new_request(key)))[0] for key in used]
                self.assertEqual([200, 200, 200, "overloaded"], answers)
                repeats = [(await a.send_order(order_fakes.new_request(key)))[0] for key in used]
                self.assertEqual([200, 200, "answer-not-kept", "overloaded"], repeats)
            self.assertEqual(3, len(sender.executed_ids))

        self.with_peers(body)

    def test_forged_keys_are_refused(self):
        async def body(store, sender, a, b):
            key = a.issue_key()
            body_part, _, mac = key.removeprefix(keys.PREFIX).partition(".")
            forged = keys.KeySigner(keyring.from_text("another secret")).issue(
                "a", "boot", "growers", 1e9
            )
            for invalid_key in (
                "thk1.",
                "thk1.x",
                f"thk1.{body_part}.AAAA",
                key[:-4],
                key + "A",
                forged,
            ):
                answer = await a.send_order(order_fakes.new_request(invalid_key))
                self.assertEqual(("malformed", "did-not-run"), answer[:2], invalid_key)
            foreign = await a.send_order(order_fakes.new_request(key, workspace="orchards"))
            self.assertEqual("malformed", foreign[0])
            self.assertEqual([], sender.executed_ids)

        self.with_peers(body)

    def test_other_encoding_of_a_key_is_not_a_second_order(self):
        # The last base64 character of the signature has unused bits, so several characters decode
        # to the same bytes. Only one of the encodings must be accepted.
        async def body(store, sender, a, b):
            key = a.issue_key()
            await a.send_order(order_fakes.new_request(key))
            for last in "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_":
                await a.send_order(order_fakes.new_request(key[:-1] + last))
            self.assertEqual(1, len(sender.executed_ids))

        self.with_peers(body)

    def test_key_fits_an_idempotency_key_header(self):
        signer = keys.KeySigner(keyring.from_text("secret"))
        key = signer.issue("entry-name-of-30-characters-ok", "b" * 32, "w" * 60, 1e9)
        self.assertLessEqual(len(key), 255)
