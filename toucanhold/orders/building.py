"""Builds the order handler of an entry."""

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

# The key-value service accepts several hundred writes per second from all its clients together.
CLAIM_CALLS_PER_S = 200.0
BURST_S = 1.0


def new_order_handler(
    entry_roster: roster.Roster,
    serve: running.ServeRequest,
    platform: keyvalue.KeyValueClient,
    peer_keys: keyring.KeyRing,
    wall_clock: collections.abc.Callable[[], float] = time.time,
    calls_per_s: float = CLAIM_CALLS_PER_S,
) -> handling.OrderHandler:
    """Return an order handler that stays within this entry's share of the call rate.

    :param entry_roster: all entries; the rate and the number of claims are divided by their count
    :param serve: sends a request to one backend server
    :param peer_keys: secrets shared by the entries; order keys are signed with them
    :param wall_clock: returns POSIX time in seconds
    :param calls_per_s: calls per second that all entries together may send to the platform
    """

    def rate_per_s() -> float:
        return calls_per_s / len(entry_roster.members())

    def max_claims() -> int:
        return leases.MAX_STORED_CLAIMS // len(entry_roster.members())

    bucket = limits.TokenBucket(rate_per_s, max(1.0, BURST_S * rate_per_s()))
    store = claims.ClaimStore(
        platform,
        commits.BatchingCommitter(platform, bucket),
        leases.ClaimLeases(platform, max_claims=max_claims),
    )
    runner = running.OrderRunner(serve)
    own = entry_roster.own
    claimed_executor = claimed.ClaimedOrderExecutor(own.entry, own.boot, runner, store, wall_clock)
    signer = keys.KeySigner(peer_keys)
    issued_executor = issued.IssuedKeyExecutor(entry_roster, runner, store, signer, wall_clock)
    return handling.OrderHandler(runner, claimed_executor, issued_executor)
