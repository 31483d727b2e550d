"""Puts the order keeper of an entry together."""

import collections.abc

from toucanhold.orders import claims, commits, keeper, leases, limits
from toucanhold.platform import keyvalue

# The platform takes several hundred writes a second from everything that uses it.
CLAIM_CALLS_PER_S = 200.0
BURST_S = 1.0


def new_keeper(
    entry: str,
    boot: str,
    sender: keeper.Sender,
    platform: keyvalue.KeyValueClient,
    count_entries: collections.abc.Callable[[], int],
) -> keeper.OrderKeeper:
    """Return a keeper whose calls are this entry's share of what all entries may use.

    :param boot: unique to this process
    :param count_entries: returns the number of entries, this one among them
    """

    def rate_per_s() -> float:
        return CLAIM_CALLS_PER_S / max(1, count_entries())

    bucket = limits.TokenBucket(rate_per_s, max(1.0, BURST_S * rate_per_s()))
    store = claims.ClaimStore(
        platform, commits.CombiningCommitter(platform, bucket), leases.ClaimLeases(platform)
    )
    return keeper.OrderKeeper(entry, boot, sender, store)
