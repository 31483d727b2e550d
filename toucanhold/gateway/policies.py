"""Names the optional policies of the request path, which settings switch on."""

from __future__ import annotations

import enum


class UnknownPolicyError(Exception):
    """Raised for a policy name that is not known."""


class Policy(enum.Enum):
    """An optional policy.

    ``SERVER_TRIALS``: a server that refuses requests gets one at a time until it serves one.
    ``SERVER_SPEED``: requests are placed by the time that servers take. ``SLOT_SHARES``: entries
    divide the slots of servers among themselves. ``LATE_HOLDBACK``: late requests leave slots to
    those that can be on time. ``EXPECTED_WAIT``: requests that cannot be served in time are refused
    at once. ``FAIR_SHARES``: workspaces share scarce slots evenly. ``GROUP_DEMAND``: groups follow
    the demand for their models.
    """

    SERVER_TRIALS = "server-trials"
    SERVER_SPEED = "server-speed"
    SLOT_SHARES = "slot-shares"
    LATE_HOLDBACK = "late-holdback"
    EXPECTED_WAIT = "expected-wait"
    FAIR_SHARES = "fair-shares"
    GROUP_DEMAND = "group-demand"


def parse(text: str) -> frozenset[Policy]:
    """Return the policies that a comma-separated list names.

    :raises UnknownPolicyError: if a name is not known; lists the known names
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {policy.value: policy for policy in Policy}
    unknown = sorted(set(names) - known.keys())
    if unknown:
        raise UnknownPolicyError(f"expected some of {', '.join(known)}, got {', '.join(unknown)}")
    return frozenset(known[name] for name in names)
