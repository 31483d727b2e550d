"""Cuts of the links from entries to all backend servers, and the check of who is served."""

import random

import attrs
import trio

MODES = ("silent", "reset", "refuse")
# Time after a cut began from which the callers of entries without servers must be served, compared
# with those of the other entries.
CONTACT_S = 3.0
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED, MAX_FAILED_FRACTION = 10, 1 / 50


@attrs.define
class Cut:
    """Entries without links from one time to another."""

    entries: list
    since_s: float
    until_s: float = float("inf")


@attrs.define(eq=False)
class LinkInjector:
    """Cuts the links of some entries, but never of all, one cut after the other.

    :ivar log: adds a description to the faults of the run
    """

    site: object
    log: object
    cuts: list = attrs.field(factory=list)

    async def run(self, duration_s):
        """Cut links for ``duration_s``; return when all are back."""
        rng = random.Random(f"links {self.site.seed}")
        end_s = trio.current_time() + duration_s
        while True:
            await trio.sleep(rng.uniform(0.5, 3.0))
            remaining_s = end_s - trio.current_time()
            if remaining_s <= 0:
                return
            names = rng.sample(self.site.entries, rng.randint(1, len(self.site.entries) - 1))
            await self._cut(sorted(names), rng.choice(MODES), rng.uniform(4.0, 10.0))

    async def _cut(self, names, mode, duration_s):
        self.log(f"{', '.join(names)} lose all servers for {duration_s:.1f} s: {mode}")
        cut = Cut(names, trio.current_time())
        self.cuts.append(cut)
        for name in names:
            self._set_mode(name, mode)
        await trio.sleep(duration_s)
        for name in names:
            self._set_mode(name, "pass")
        cut.until_s = trio.current_time()

    def _set_mode(self, name, mode):
        for proxy in self.site.server_proxies.values():
            proxy.set_host_mode(self.site.host(name), mode)


def check(site, caller_record, cuts):
    """Return a description if callers of entries without servers fared far worse than others."""
    served = {True: [], False: []}
    for sent_s, _, outcome, entry in caller_record.outcomes:
        cut = _cut_at(cuts, sent_s)
        if cut is None:
            continue
        undisturbed = {
            name for name in site.entries if not site.signal_record.is_excused(name, sent_s, sent_s)
        }
        # Servers can be reached only through an entry that has links and runs.
        if entry in undisturbed and undisturbed - set(cut.entries):
            served[entry in cut.entries].append(outcome == "served")
    if not served[True] or not served[False]:
        return []
    own, others = (sum(each) / len(each) for each in (served[True], served[False]))
    failed = served[True].count(False)
    allowed = MAX_FAILED + MAX_FAILED_FRACTION * (len(served[True]) + len(served[False]))
    if own >= MIN_SERVED_RATIO * others or failed <= allowed:
        return []
    return [
        f"links: entries without servers served {own:.2f} of {len(served[True])} requests, the "
        f"other entries {others:.2f} of {len(served[False])}"
    ]


def _cut_at(cuts, sent_s):
    """Return the cut that had lasted for ``CONTACT_S`` at a time; None without one."""
    for cut in cuts:
        if cut.since_s + CONTACT_S <= sent_s <= cut.until_s:
            return cut
    return None
