"""Tests of attempts of one call that are under way at the same time."""

import collections
import contextlib
import random
import unittest
import unittest.mock

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold import events
from toucanhold.gateway import calls, retry_budget, targets

ALL_EVENTS = list(range(1, 11))


def pause(scene, name, duration_s):
    """Pause a server from now on."""
    behaviour = scene.server_client.behaviours[name]
    behaviour.paused_until_s = trio.current_time() + duration_s


class AttemptLimitTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_unused_backups_stay_within_the_attempts_of_the_route(self):
        """Guards against a third server at work on a call whose route allows two."""
        scene = gateways.GatewayFixture(gateways.new_servers(3))
        scene.loads.add("b1")
        scene.loads.add("b2")
        for name in ("b1", "b2"):
            scene.server_client.behaviours[name].response_delay_s = 1.0
        results = []

        async def send():
            results.extend(await scene.send(gateways.new_call("/streams/1", timeout_s=10.0)))

        async with scene.running(), trio.open_nursery() as nursery:
            nursery.start_soon(send)
            for _ in range(2):
                await trio.sleep(0.15)
                pause(scene, "b0", 0.5)
                await trio.sleep(0.6)
                scene.loads.add("b1")
        self.assertEqual(ALL_EVENTS, results[0].event_ids)
        names = [name for _, name, _ in scene.server_client.received_calls]
        self.assertEqual(2, gateways.STREAMS.max_attempts)
        self.assertLessEqual(len(set(names)), 2, names)


class RetryLogTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_retry_names_the_server_whose_failure_it_follows(self):
        """Guards against incidents that are blamed on the server of another attempt."""
        scene = gateways.GatewayFixture(gateways.new_servers(3))
        scene.routes.put(scene.new_table(2, attrs.evolve(gateways.STREAMS, max_attempts=3)))
        scene.loads.add("b1")
        for _ in range(4):
            scene.loads.add("b2")
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.0, 1.5, 10.0)
        scene.server_client.behaviours["b0"].breaks_off_after_pause = True
        scene.server_client.behaviours["b1"].is_answer_lost = True
        logged = []

        def record(logger, event, **fields):
            logged.append((event, fields))

        with unittest.mock.patch.object(events, "log", record):
            async with scene.running(), trio.open_nursery() as nursery:
                nursery.start_soon(scene.send, gateways.new_call("/streams/1"))
                await trio.sleep(0.15)
                pause(scene, "b0", 0.3)
        lost = [fields for event, fields in logged if event is events.Event.ATTEMPT_LOST]
        retries = (events.Event.CALL_RESENT, events.Event.RETRY_DENIED)
        followed = [fields for event, fields in logged if event in retries]
        self.assertTrue(followed)
        for fields in followed:
            failures = {each["server"] for each in lost if each["failure"] == fields["failure"]}
            self.assertIn(fields["server"], failures)


class RetryCountTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_retry_stays_pending_until_its_server_has_sent_something(self):
        """Guards against a retry that arrives in a window after the one it is counted in."""
        scene = gateways.GatewayFixture(gateways.new_servers(3))
        route = attrs.evolve(gateways.STREAMS, max_attempts=4, timeout_s=10.0)
        scene.routes.put(scene.new_table(2, route))
        scene.loads.add("b1")
        scene.loads.add("b2")
        scene.loads.add("b2")
        scene.server_client.behaviours["b0"].is_answer_lost = True
        scene.server_client.behaviours["b1"].response_delay_s = 8.0
        scene.server_client.behaviours["b2"].response_delay_s = 8.0
        ledger = scene.gateway.retry_budget._state("desk").ledger
        pending = []

        async with scene.running() as nursery:
            nursery.start_soon(scene.send, gateways.new_call("/streams/1", timeout_s=10.0))
            for _ in range(2):
                await trio.sleep(0.5)
                pending.append((len(scene.server_client.received_calls), ledger.pending))
        self.assertEqual([(2, 1), (3, 2)], pending)

    @clocked.on_test_clock
    async def test_a_backup_that_was_not_sent_holds_no_retry(self):
        """Guards against retries that running streams keep from other calls."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].event_count = 40
        scene.server_client.behaviours["b1"].is_down = True
        scene.loads.add("b1")
        ledger = scene.gateway.retry_budget._state("desk").ledger
        route = attrs.evolve(gateways.STREAMS, timeout_s=10.0)
        scene.routes.put(scene.new_table(2, route))

        async with scene.running() as nursery:
            nursery.start_soon(scene.send, gateways.new_call("/streams/1", timeout_s=10.0))
            await trio.sleep(0.15)
            pause(scene, "b0", 0.5)
            await trio.sleep(1.0)
            self.assertIn("b1", [name for _, name, _ in scene.server_client.received_calls])
            self.assertEqual(1, scene.server_client.active_calls["b0"])
            self.assertEqual(0, ledger.pending)

    @clocked.on_test_clock
    async def test_one_silent_call_does_not_use_up_the_retries(self):
        """Guards against a retry for each server that refuses a backup of the same call."""
        scene = gateways.GatewayFixture(gateways.new_servers(40))
        for name in list(scene.registered_servers)[1:]:
            scene.server_client.behaviours[name].is_refusing = True
            scene.loads.add(name)
        async with scene.running(), trio.open_nursery() as nursery:
            nursery.start_soon(scene.send, gateways.new_call("/streams/1", timeout_s=10.0))
            await trio.sleep(0.15)
            pause(scene, "b0", 0.9)
        sent = sum(scene.gateway.retry_budget.sent_counts.values())
        self.assertLessEqual(sent, 3)


@attrs.define(eq=False)
class CountingReply(gateways.RecordedReply):
    """A reply whose messages take a moment and are shielded, as those over HTTP are.

    :ivar finish_count: number of calls of :meth:`finish`
    :ivar late_chunks: chunks that were sent after the end
    """

    finish_count: int = 0
    late_chunks: list[bytes] = attrs.field(factory=list)

    async def send(self, chunk):
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()
        if self.is_complete:
            self.late_chunks.append(chunk)
        await super().send(chunk)

    async def finish(self):
        self.finish_count += 1
        with trio.CancelScope(shield=True):
            await trio.lowlevel.checkpoint()
        await super().finish()


@attrs.define(eq=False)
class SignalledClient(gateways.MemoryServerClient):
    """Servers whose streams go on together once a signal is set.

    :ivar before: events that a server sends at once, by its name
    :ivar after: events that it sends once the signal is set; its stream ends then
    """

    before: dict = attrs.field(factory=dict)
    after: dict = attrs.field(factory=dict)
    signal: trio.Event = attrs.field(factory=trio.Event)

    @contextlib.asynccontextmanager
    async def exchange(self, server, forwarded):
        self.received_calls.append((trio.current_time(), server.server_id, forwarded))
        yield calls.Response(200, (), self._play(server.server_id))

    async def _play(self, name):
        for number in self.before.get(name, ()):
            await trio.lowlevel.checkpoint()
            yield b"id: %d\ndata: token\n\n" % number
        await self.signal.wait()
        for number in self.after.get(name, ()):
            yield b"id: %d\ndata: token\n\n" % number
            await trio.lowlevel.checkpoint()


class SameTickTest(unittest.TestCase):
    async def _play(self, after):
        client = SignalledClient(before={"b0": (1, 2)}, after=after)
        scene = gateways.GatewayFixture(gateways.new_servers(2), client)
        scene.loads.add("b1")
        reply = CountingReply()
        async with scene.running(), trio.open_nursery() as nursery:

            async def send():
                await scene.gateway.serve(gateways.new_call("/streams/1"), reply)

            nursery.start_soon(send)
            await trio.sleep(0.9)
            self.assertEqual(2, len(client.received_calls))
            client.signal.set()
        return reply

    @clocked.on_test_clock
    async def test_two_streams_that_end_at_once_finish_the_answer_once(self):
        """Guards against an end that is written by two attempts, or by neither."""
        for _ in range(5):
            reply = await self._play({})
            self.assertEqual(1, reply.finish_count)
            self.assertTrue(reply.is_complete)

    @clocked.on_test_clock
    async def test_an_end_and_an_event_at_once_give_one_whole_answer(self):
        """Guards against an answer that is ended while another attempt writes it."""
        for _ in range(20):
            reply = await self._play({"b1": (3, 4)})
            self.assertEqual((1, []), (reply.finish_count, reply.late_chunks))
            self.assertIn(reply.event_ids, ([1, 2], [1, 2, 3, 4]))


class HungServerTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_streams_leave_hung_servers_at_once_while_others_answer(self):
        """Guards against streams that wait because none but theirs are open at this entry."""
        scene = gateways.GatewayFixture(gateways.new_servers(30))
        replies = []

        async def send_stream(number):
            call = gateways.new_call("/streams/1", call_id=str(number), body=b"%d" % number)
            reply, error = await scene.send(call)
            self.assertIsNone(error)
            replies.append(reply)

        async with scene.running(), trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(send_stream, number)
            await trio.sleep(0.15)
            for _, name, _ in list(scene.server_client.received_calls):
                pause(scene, name, 30.0)
            for number in range(40):
                call = gateways.new_call("/lookups/1", call_id=f"l{number}", body=b"l%d" % number)
                nursery.start_soon(scene.send, call)
                await trio.sleep(0.02)
        for reply in replies:
            times_s = reply.chunk_times_s
            gaps_s = [after - before for before, after in zip(times_s, times_s[1:], strict=False)]
            self.assertLess(max(gaps_s), 0.4)

    @clocked.on_test_clock
    async def test_a_server_that_stands_still_gets_few_further_calls(self):
        """Guards against calls sent to a hung server each time that its avoidance ends."""
        scene = gateways.GatewayFixture(gateways.new_servers(32, slots=12))
        async with scene.running(), trio.open_nursery() as nursery:
            for number in range(16 * 80):
                if number == 80:
                    pause(scene, "b0", 15.0)
                    paused_s = trio.current_time()
                call = gateways.new_call("/streams/1", call_id=str(number))
                nursery.start_soon(scene.send, call)
                await trio.sleep(1 / 80)
        late = [
            round(at_s - paused_s, 2)
            for at_s, name, _ in scene.server_client.received_calls
            if name == "b0" and at_s > paused_s
        ]
        self.assertLessEqual(len(late), 4, late)


class RandomFaultsTest(unittest.TestCase):
    ROUTE = attrs.evolve(gateways.STREAMS, max_attempts=3, timeout_s=6.0)

    @clocked.on_test_clock
    async def test_nothing_leaks_and_no_answer_is_wrong_under_random_faults(self):
        """Guards against lost slots, uncounted retries, doubled events and stray exceptions."""
        for seed in range(40):
            with self.subTest(seed=seed):
                await self._play(seed)

    async def _play(self, seed):
        rng = random.Random(seed)
        scene = gateways.GatewayFixture(gateways.new_servers(8, slots=4))
        scene.routes.put(scene.new_table(2, self.ROUTE, gateways.ORDERS))
        slack = rng.choice((0.0, 2.0, 10.0, 1000.0))
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.1, slack, 10.0)
        down = set()
        for name in scene.registered_servers:
            behaviour = scene.server_client.behaviours[name]
            behaviour.event_count, behaviour.event_interval_s = 20, rng.choice((0.05, 0.1))
            behaviour.response_delay_s = rng.choice((0.03, 0.03, 0.5))
            match rng.randrange(9):
                case 0:
                    behaviour.is_down, behaviour.connect_timeout_s = True, rng.choice((0.0, 0.3))
                    down.add(name)
                case 1:
                    behaviour.is_refusing = True
                case 2:
                    behaviour.cut_after = rng.randrange(15)
                case 3:
                    behaviour.status = 500
                case 4:
                    behaviour.is_answer_lost = True
                case 5:
                    behaviour.breaks_off_after_pause = True
        outcomes = []

        async def send(number):
            path = rng.choice(("/streams/1", "/streams/1", "/streams/1", "/orders/1"))
            body = b"%d" % number
            call = gateways.new_call(path, call_id=str(number), timeout_s=6.0, body=body)
            reply = CountingReply()
            error = None
            with trio.move_on_after(rng.choice((0.4, 1.0, 20.0, 20.0))) as scope:
                try:
                    await scene.gateway.serve(call, reply)
                except (calls.CallError, calls.ResponseLostError) as raised:
                    error = raised
            outcomes.append((path, call.call_id, reply, error, scope.cancelled_caught))

        async def pause_some():
            for _ in range(4):
                await trio.sleep(rng.uniform(0.2, 1.2))
                for name in rng.sample(sorted(scene.registered_servers), rng.randrange(9)):
                    pause(scene, name, rng.uniform(0.2, 1.5))

        async with scene.running(), trio.open_nursery() as nursery:
            nursery.start_soon(pause_some)
            for number in range(60):
                nursery.start_soon(send, number)
                await trio.sleep(rng.expovariate(20))
        self.assertEqual(60, len(outcomes))
        self.assertEqual(0, sum(scene.server_client.active_calls.values()))
        self.assertEqual(0, sum(scene.loads.own_counts.values()))
        ledger = scene.gateway.retry_budget._state("desk").ledger
        self.assertAlmostEqual(0, ledger.pending)
        self._check_replies(outcomes)
        received = collections.Counter(
            forwarded.call.call_id
            for _, name, forwarded in scene.server_client.received_calls
            if name not in down
        )
        executed = collections.Counter(call_id for _, call_id in scene.server_client.executed_calls)
        repeats = sum(count - 1 for count in received.values())
        self.assertGreaterEqual(sum(scene.gateway.retry_budget.sent_counts.values()), repeats)
        for path, call_id, *_ in outcomes:
            limit = 1 if path == "/orders/1" else self.ROUTE.max_attempts + 1
            self.assertLessEqual(executed[call_id], limit)

    def _check_replies(self, outcomes):
        for path, call_id, reply, error, has_left in outcomes:
            self.assertLessEqual(reply.finish_count, 1)
            self.assertEqual([], reply.late_chunks)
            if path != "/orders/1" and reply.status == 200:
                ids = reply.event_ids
                self.assertEqual(list(range(1, len(ids) + 1)), ids)
                is_whole = error is None and not has_left
                self.assertEqual(is_whole, len(ids) == 20 and reply.is_complete, (call_id, error))


class CheckCostTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_silent_streams_compare_no_servers_without_a_retry(self):
        """Guards against checks that take longer than their interval while many servers pause."""
        scene = gateways.GatewayFixture(gateways.new_servers(20))
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.0, 0.0, 10.0)
        choose_sound = unittest.mock.Mock()
        with unittest.mock.patch.object(targets.ServerSelector, "choose_sound", choose_sound):
            async with scene.running() as nursery:
                for number in range(40):
                    call = gateways.new_call("/streams/1", call_id=str(number))
                    nursery.start_soon(scene.send, call)
                await trio.sleep(0.2)
                for name in list(scene.registered_servers)[:12]:
                    pause(scene, name, 1.2)
                await trio.sleep(1.0)
                self.assertTrue(scene.silent_servers)
        self.assertEqual(0, choose_sound.call_count)
