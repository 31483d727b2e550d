"""Order keys that an entry issues: only the process that issued a key ever runs it."""

import base64
import hashlib
import hmac
import os

import attrs
import msgpack

from toucanhold import keyring

PREFIX = "thk1."
VALID_S = 3600.0
NONCE_BYTES = 12
MAC_BYTES = 16
DERIVATION = b"toucanhold order keys"


class InvalidKeyError(Exception):
    """A text that no entry has issued to this workspace."""


@attrs.frozen
class IssuedKey:
    """What an order key says.

    :ivar entry: the entry that issued it
    :ivar boot: unique to that entry's process
    :ivar expires_at_s: end of its validity on that process's own monotonic clock
    """

    entry: str
    boot: str
    workspace: str
    expires_at_s: float
    nonce: bytes


@attrs.frozen
class KeySigner:
    """Writes and reads order keys.

    :ivar secrets: known to the entries alone; keys under any of them are read
    """

    secrets: keyring.KeyRing = attrs.field(converter=lambda keys: keys.derived(_derive))

    def issue(self, entry: str, boot: str, workspace: str, expires_at_s: float) -> str:
        """Return a new key."""
        key = IssuedKey(entry, boot, workspace, expires_at_s, os.urandom(NONCE_BYTES))
        body = msgpack.packb(attrs.astuple(key))
        return _text(body, _mac(self.secrets.primary, body))

    def read(self, text: str, workspace: str) -> IssuedKey:
        """Return what a key says.

        :raises InvalidKeyError: when it was not issued to ``workspace``
        """
        # Unsigned, anyone could name a process that never existed, and "unknown" would be said
        # of orders that nobody ever sent; or name this one, and fill its memory.
        try:
            body, mac = map(_decode, text.removeprefix(PREFIX).split("."))
            if text != _text(body, mac):
                # Unused bits of base64 may differ: two spellings of one key would be two orders.
                raise InvalidKeyError("it was changed")
            if self.secrets.find(mac, lambda secret: _mac(secret, body)) is None:
                raise InvalidKeyError("its signature is wrong")
            key = IssuedKey(*msgpack.unpackb(body))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise InvalidKeyError("it is malformed") from error
        if key.workspace != workspace:
            raise InvalidKeyError("it was issued to another workspace")
        return key


def is_issued(text: str) -> bool:
    """Tell whether a key claims to be one that an entry issued."""
    return text.startswith(PREFIX)


def _derive(key: bytes) -> bytes:
    return hmac.digest(key, DERIVATION, hashlib.sha256)


def _mac(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]


def _text(body: bytes, mac: bytes) -> str:
    return f"{PREFIX}{_encode(body)}.{_encode(mac)}"


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
