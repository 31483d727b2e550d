"""Sends prompts with a common prefix to the same backend server, for its prefix cache."""

import bisect
import collections.abc
import typing
import zlib

import attrs

from toucanhold.routing import candidates

VIRTUAL_NODES_PER_SERVER = 16
MAX_PREFIX_CHARACTERS = 1024
# Shorter prompts cost an engine next to nothing to process again.
MIN_PREFIX_CHARACTERS = 256


def prefix_key(body: collections.abc.Mapping[str, typing.Any]) -> int:
    """Return a hash of the leading characters of a prompt.

    :param body: the request's JSON body, unchecked
    :return: a CRC-32; 0 if the prompt has fewer than ``MIN_PREFIX_CHARACTERS`` characters
    """
    prefix_text = ""
    messages = body.get("messages")
    for message in messages if isinstance(messages, list) else ():
        content = message.get("content") if isinstance(message, dict) else None
        prefix_text += content if isinstance(content, str) else ""
        if len(prefix_text) >= MAX_PREFIX_CHARACTERS:
            break
    prompt = body.get("prompt")
    prefix_text += prompt if isinstance(prompt, str) else ""
    if len(prefix_text) < MIN_PREFIX_CHARACTERS:
        return 0
    return zlib.crc32(prefix_text[:MAX_PREFIX_CHARACTERS].encode()) or 1


@attrs.define(eq=False)
class _HashRing:
    """A consistent-hash ring over the VMs of one candidate set.

    :ivar membership_version: the candidate set's when the ring was built
    :ivar hashes: positions of the virtual nodes, ascending
    :ivar vms: the VM of each virtual node, in the order of ``hashes``
    """

    membership_version: int = -1
    hashes: list[int] = attrs.field(factory=list)
    vms: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class PrefixMap:
    """Maps prefixes to backend servers by consistent hashing.

    All entries agree on the server without storing or exchanging prefixes.
    """

    _rings: dict[str, _HashRing] = attrs.field(factory=dict)

    def preferred_candidate(
        self, service: str, prefix: int, options: candidates.CandidateSet
    ) -> candidates.Candidate:
        """Return the candidate that is most likely to have this prefix in its cache."""
        ring = self._rings.get(service)
        if ring is None or ring.membership_version != options.membership_version:
            ring = self._rings[service] = _build_ring(options)
        index = bisect.bisect(ring.hashes, prefix) % len(ring.hashes)
        return options.by_vm[ring.vms[index]]


def _build_ring(options: candidates.CandidateSet) -> _HashRing:
    nodes = sorted(
        (zlib.crc32(f"{vm}#{point}".encode()), vm)
        for vm in options.by_vm
        for point in range(VIRTUAL_NODES_PER_SERVER)
    )
    return _HashRing(
        options.membership_version, [point for point, _ in nodes], [vm for _, vm in nodes]
    )
