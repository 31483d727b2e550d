"""Shared secrets that can be rotated while the system runs.

A secret is rotated in three rounds over all entries: ``old,new``, then ``new,old``, then ``new``.
In each round an entry accepts the secrets used by entries of the previous and of the next round.
"""

import collections.abc
import hmac

import attrs

Derive = collections.abc.Callable[[bytes], bytes]


@attrs.frozen
class KeyRing:
    """Secrets of which the first is used and all are accepted.

    :ivar keys: at least one secret
    """

    keys: tuple[bytes, ...] = attrs.field(repr=False)

    @property
    def primary(self) -> bytes:
        """The secret that is used."""
        return self.keys[0]

    def derived(self, derive: Derive) -> "KeyRing":
        """Return a key ring with the result of ``derive`` for each secret, in the same order."""
        return KeyRing(tuple(derive(key) for key in self.keys))

    def find(self, presented: bytes, proof: Derive) -> bytes | None:
        """Return the secret whose proof was presented, or None.

        All secrets are compared, each in constant time, so that the duration does not leak to an
        unauthenticated client which secret matches.

        :param presented: the proof that the other side sent
        :param proof: computes the expected proof from a secret
        """
        matching = None
        for key in self.keys:
            if hmac.compare_digest(proof(key), presented):
                matching = key
        return matching


def from_text(text: str) -> KeyRing:
    """Return the key ring of comma-separated secrets; spaces around them are removed."""
    return KeyRing(tuple(part.strip().encode() for part in text.split(",")))
