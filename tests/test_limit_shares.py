"""Tests of the shares of limits, each of which one entry holds at a time."""

import random
import unittest
import unittest.mock

import trio

from standins import gateways, memory, retries
from tests import clocked
from toucanhold import clock
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import entries, limit_shares

WINDOW_S = 10.0
SAMPLE_S = 0.25
MODES = ("silent", "down", "slow", "up", "up", "up")


class ShareWatch:
    """Samples who uses each share, and records uses by two processes within a window."""

    def __init__(self, site):
        self.site = site
        self.processes = set()
        self.last_uses = {}
        self.conflicts = []

    async def run(self):
        """Sample until cancelled."""
        while True:
            self.processes |= set(self.site.entries.values())
            for process in self.processes:
                if not process.scope.cancel_called:
                    for key in process.limit_shares.usable(WINDOW_S):
                        self._record(key, process.own.boot)
            await trio.sleep(SAMPLE_S)

    def _record(self, key, boot):
        last_boot, last_s = self.last_uses.get(key, (boot, float("-inf")))
        if boot != last_boot and trio.current_time() - last_s < WINDOW_S:
            self.conflicts.append((key, last_boot, boot))
        self.last_uses[key] = boot, trio.current_time()


class LimitSharesTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_all_shares_are_held_soon_after_the_first_start(self):
        """Guards against a limit that nobody may use until a window after the start."""
        site = retries.RetrySite(9)
        async with site.running():
            await trio.sleep(8)
            shares = [entry.limit_shares.fraction(WINDOW_S) for entry in site.entries.values()]
        self.assertEqual(1.0, sum(shares))
        self.assertLessEqual(max(shares), 3 / limit_shares.SHARE_COUNT)

    @clocked.on_test_clock
    async def test_a_restarted_entry_uses_its_shares_again_after_a_window(self):
        """Guards against shares that are used twice in a window, or lost with a process."""
        site = retries.RetrySite(3)
        async with site.running():
            await trio.sleep(8)
            before = site.entries["e0"].limit_shares.fraction(WINDOW_S)
            await site.restart("e0")
            shares = site.entries["e0"].limit_shares
            await trio.sleep(WINDOW_S)
            self.assertEqual(0, shares.fraction(WINDOW_S))
            self.assertEqual(before, shares.fraction(1.0))
            await trio.sleep(2 * limit_shares.TRANSFER_MARGIN_S)
            self.assertEqual(before, shares.fraction(WINDOW_S))

    @clocked.on_test_clock
    async def test_shares_are_kept_through_an_outage_of_the_store(self):
        site = retries.RetrySite(3)
        async with site.running():
            await trio.sleep(8)
            site.platform.set_mode("down")
            await trio.sleep(30)
            shares = [entry.limit_shares.fraction(WINDOW_S) for entry in site.entries.values()]
        self.assertEqual(1.0, sum(shares))

    @clocked.on_test_clock
    async def test_an_entry_that_stood_still_gives_up_its_shares(self):
        """Guards against a share that is used after another entry may have taken it over."""
        site = retries.RetrySite(3)
        async with site.running():
            await trio.sleep(8)
            shares = site.entries["e0"].limit_shares
            site.platform.set_mode("silent", "e0")
            with unittest.mock.patch.object(clock, "now", later(limit_shares.VALIDITY_S)):
                self.assertEqual(0, shares.fraction(WINDOW_S))

    @clocked.on_test_clock
    async def test_no_share_is_used_by_two_processes_within_a_window(self):
        """Guards against shares whose holders disagree, whatever the store and entries do."""
        for seed in range(3):
            rng = random.Random(seed)
            site = retries.RetrySite(5, seed=seed)
            watch = ShareWatch(site)
            async with site.running():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(watch.run)
                    for _ in range(60):
                        await self._disturb(site, rng, nursery)
                        await trio.sleep(rng.uniform(0.2, 12))
                    nursery.cancel_scope.cancel()
            self.assertGreater(len(watch.processes), 10)
            self.assertEqual([], watch.conflicts)

    async def _disturb(self, site, rng, nursery):
        name = rng.choice(sorted(site.entries))
        faults = site.platform.faults[name]
        match rng.randrange(5):
            case 0:
                nursery.start_soon(site.restart, name)
            case 1:
                if len(site.entries) > 2:
                    site.entries.pop(name).scope.cancel()
            case 2:
                site.start(f"new-{rng.random()}")
            case 3:
                faults.mode = rng.choice(MODES)
            case _:
                faults.lose_answers = rng.randrange(3)
                faults.lose_requests = rng.randrange(3)
                faults.silent_watches = rng.random() < 0.3


def later(delay_s):
    """Return a function that returns the current point in time as if so much had passed."""
    now = clock.now()
    return lambda: clock.Instant(now.monotonic_s + delay_s, now.suspended_s)


class RemovedShareTest(unittest.TestCase):
    def _new_shares(self):
        kv_mirror = mirror.Mirror()
        client = memory.MemoryPlatform().client("own")
        own = gateways.new_entry("own")
        entry_list = entries.EntryList(own, client, kv_mirror, random.Random(1))
        return kv_mirror, limit_shares.LimitShares(client, kv_mirror, entry_list, random.Random(1))

    @clocked.on_test_clock
    async def test_a_refused_write_of_a_share_that_another_entry_took_is_no_error(self):
        """Guards against a share that another entry takes while this one's write is refused."""
        kv_mirror, shares = self._new_shares()
        key = f"{limit_shares.PREFIX}01"

        async def refuse_after_another_write(*arguments):
            item = keyvalue.Item(key, b'{"entry": "e2", "boot": "b2"}', 5, 5)
            kv_mirror.replace(keyvalue.RangeResult(5, (item,)))
            raise keyvalue.UnavailableError("refused with status 503")

        with unittest.mock.patch.object(memory.MemoryClient, "commit", refuse_after_another_write):
            with self.assertRaises(keyvalue.UnavailableError):
                await shares._take(key)
        self.assertEqual(0, shares.fraction(1.0))

    @clocked.on_test_clock
    async def test_a_share_that_was_lost_during_its_renewal_is_not_held_again(self):
        """Guards against a share of a limit that two entries use."""
        kv_mirror, shares = self._new_shares()
        key = f"{limit_shares.PREFIX}01"
        await shares._take(key)
        await trio.sleep(limit_shares.RENEW_S + 1)

        async def succeed_before_another_write(*arguments):
            item = keyvalue.Item(key, b'{"entry": "e2", "boot": "b2"}', 5, 9)
            kv_mirror.replace(keyvalue.RangeResult(9, (item,)))
            return keyvalue.CommitResult(True, 8)

        with unittest.mock.patch.object(
            memory.MemoryClient, "commit", succeed_before_another_write
        ):
            await shares._renew()
            self.assertEqual([], shares.usable(1.0))
            await shares._take(key)
        self.assertEqual([], shares.usable(1.0))
