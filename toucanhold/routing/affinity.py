"""Affinity of requests with a common leading part to one backend server's prefix cache."""

import bisect
import collections.abc
import typing
import zlib

import attrs

from toucanhold.routing import candidates

POINTS_PER_SERVER = 16
LEADING_CHARACTERS = 1024
# Shorter prompts cost an engine next to nothing to read again.
MIN_CHARACTERS = 256


def prefix_key(body: collections.abc.Mapping[str, typing.Any]) -> int:
    """Return a hash of the leading part of a prompt; 0 where it is too short to matter."""
    leading = ""
    messages = body.get("messages")
    for message in messages if isinstance(messages, list) else ():
        content = message.get("content") if isinstance(message, dict) else None
        leading += content if isinstance(content, str) else ""
        if len(leading) >= LEADING_CHARACTERS:
            break
    prompt = body.get("prompt")
    leading += prompt if isinstance(prompt, str) else ""
    if len(leading) < MIN_CHARACTERS:
        return 0
    return zlib.crc32(leading[:LEADING_CHARACTERS].encode()) or 1


@attrs.define(eq=False)
class _Ring:
    """A consistent hash over the members of one candidate set."""

    members: int = -1
    points: list[int] = attrs.field(factory=list)
    names: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class PrefixMap:
    """Maps prefixes to backend servers, equally on all entries, without remembering prefixes."""

    _rings: dict[str, _Ring] = attrs.field(factory=dict)

    def preferred(
        self, service: str, prefix: int, options: candidates.CandidateSet
    ) -> candidates.Candidate:
        """Return the candidate that has this prefix in its cache, if any has."""
        ring = self._rings.get(service)
        if ring is None or ring.members != options.members:
            ring = self._rings[service] = _new_ring(options)
        place = bisect.bisect(ring.points, prefix) % len(ring.points)
        return options.by_vm[ring.names[place]]


def _new_ring(options: candidates.CandidateSet) -> _Ring:
    pairs = sorted(
        (zlib.crc32(f"{vm}#{point}".encode()), vm)
        for vm in options.by_vm
        for point in range(POINTS_PER_SERVER)
    )
    return _Ring(options.members, [point for point, _ in pairs], [vm for _, vm in pairs])
