"""Shared secrets that can be exchanged while the system runs.

A secret is replaced in three rounds over all entries: ``old,new``, then ``new,old``, then ``new``.
In each round an entry accepts what entries of the round before and of the next one use.
"""

import collections.abc
import hmac

import attrs

Derive = collections.abc.Callable[[bytes], bytes]


@attrs.frozen
class KeyRing:
    """Secrets, the one in use first; the others are only accepted."""

    keys: tuple[bytes, ...] = attrs.field(repr=False)

    @property
    def primary(self) -> bytes:
        """The secret in use."""
        return self.keys[0]

    def derived(self, derive: Derive) -> "KeyRing":
        """Return the ring of what ``derive`` makes of each secret."""
        return KeyRing(tuple(derive(key) for key in self.keys))

    def find(self, presented: bytes, proof: Derive) -> bytes | None:
        """Return the secret whose ``proof`` was presented, or None.

        All are compared, each in constant time: how long it takes tells a stranger nothing.
        """
        found = None
        for key in self.keys:
            if hmac.compare_digest(proof(key), presented):
                found = key
        return found


def from_text(text: str) -> KeyRing:
    """Return the ring of secrets that stand separated by commas."""
    return KeyRing(tuple(part.strip().encode() for part in text.split(",")))
