"""Measures group downtime in an outage with and without precomputed substitutions."""

import logging
import random

import trio
import trio.testing

from tools.measure import planning, sites, table
from toucanhold.planning import spreading


def run(seed: int) -> list[table.Table]:
    """Return the group downtime without and with substitutions."""
    logging.disable(logging.CRITICAL)
    rows = []
    for site in sites.ALL:
        for recorded in (False, True):
            policy = spreading.Spreading(record_spares=recorded)
            down_s = []
            for run_seed in range(seed, seed + planning.SEEDS):
                clock = trio.testing.MockClock(autojump_threshold=0)
                outage_run = planning.Run(site, policy, random.Random(run_seed))
                down_s.append(sum(trio.run(outage_run.run_outage, clock=clock).down_s.values()))
            rows.append(
                (site.name, "recorded" if recorded else "none", planning.format_spread(down_s))
            )
    note = (
        f"Seeds {seed} to {seed + planning.SEEDS - 1}, mean (least to most), group-seconds not"
        f" serving in an outage of {planning.OUTAGE_S:.0f} s, a VM failing every"
        f" {planning.FAILURE_INTERVAL_S:.0f} s on average. All engines check fencing numbers."
    )
    columns = ("site", "substitutions", "all_down_s")
    return [table.Table("Substitutions during an outage", columns, tuple(rows), note)]
