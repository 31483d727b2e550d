"""Puts the order keeper of an entry together."""

import collections.abc
import time

from toucanhold import keyring
from toucanhold.coordination import keyvalue
from toucanhold.membership import roster
from toucanhold.orders import (
    claimed,
    claims,
    commits,
    handling,
    issued,
    keys,
    leases,
    limits,
    running,
)

# The platform takes several hundred writes a second from everything that uses it.
CLAIM_CALLS_PER_S = 200.0
BURST_S = 1.0


def new_order_handler(
    entries: roster.Roster,
    serve: running.Serve,
    platform: keyvalue.KeyValueClient,
    peer_keys: keyring.KeyRing,
    wall_clock: collections.abc.Callable[[], float] = time.time,
    calls_per_s: float = CLAIM_CALLS_PER_S,
) -> handling.OrderHandler:
    """Return a keeper whose calls are this entry's share of what all entries may use.

    :param peer_keys: the secrets that entries share
    :param calls_per_s: what all entries together may send to the platform
    """

    def rate_per_s() -> float:
        return calls_per_s / len(entries.members())

    def max_claims() -> int:
        return leases.MAX_KEPT_CLAIMS // len(entries.members())

    bucket = limits.TokenBucket(rate_per_s, max(1.0, BURST_S * rate_per_s()))
    store = claims.ClaimStore(
        platform,
        commits.BatchingCommitter(platform, bucket),
        leases.ClaimLeases(platform, max_claims=max_claims),
    )
    runner = running.OrderRunner(serve)
    own = entries.own
    by_claim = claimed.ClaimedOrderExecutor(own.entry, own.boot, runner, store, wall_clock)
    signer = keys.KeySigner(peer_keys)
    by_issue = issued.IssuedKeyExecutor(entries, runner, store, signer, wall_clock)
    return handling.OrderHandler(runner, by_claim, by_issue)
