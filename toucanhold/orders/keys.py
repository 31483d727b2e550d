"""Signs and verifies the order keys that entries issue to callers."""

import base64
import hashlib
import hmac
import os

import attrs
import msgpack

from toucanhold import keyring, parsing

PREFIX = "thk1."
VALID_S = 3600.0
NONCE_BYTES = 12
MAC_BYTES = 16
DERIVATION_LABEL = b"toucanhold order keys"


class InvalidKeyError(Exception):
    """An order key that no entry issued to this workspace."""


@attrs.frozen
class IssuedKey:
    """The content of an order key; only the process that issued the key runs its order.

    :ivar entry: name of the entry that issued the key
    :ivar boot: unique to that entry's process
    :ivar workspace: the workspace that may use the key
    :ivar expires_at_s: end of the key's validity on the monotonic clock of that process
    :ivar nonce: random bytes that make the key unique
    """

    entry: str
    boot: str
    workspace: str
    expires_at_s: float
    nonce: bytes


@attrs.frozen
class KeySigner:
    """Issues signed order keys and verifies them.

    :ivar secrets: signing keys derived from the secrets shared by the entries; a signature by any
        of them is accepted
    """

    secrets: keyring.KeyRing = attrs.field(converter=lambda keys: keys.derived(_derive))

    def issue(self, entry: str, boot: str, workspace: str, expires_at_s: float) -> str:
        """Return a new signed key."""
        key = IssuedKey(entry, boot, workspace, expires_at_s, os.urandom(NONCE_BYTES))
        body = msgpack.packb(attrs.astuple(key))
        return _to_text(body, _mac(self.secrets.primary, body))

    def verify(self, text: str, workspace: str) -> IssuedKey:
        """Verify a key and return its content.

        :raises InvalidKeyError: when the key is malformed, wrongly signed or issued to another
            workspace
        """
        # Without a signature, anyone could name a process that never existed and get "outcome
        # unknown" for orders that were never sent, or name this process and fill its memory.
        try:
            body, mac = map(_decode, text.removeprefix(PREFIX).split("."))
            if text != _to_text(body, mac):
                # Unused base64 bits may differ: two encodings of one key would be two orders.
                raise InvalidKeyError("not in canonical base64 form")
            if self.secrets.find(mac, lambda secret: _mac(secret, body)) is None:
                raise InvalidKeyError("invalid signature")
            key = IssuedKey(*parsing.load_msgpack(body))
        except (ValueError, TypeError) as error:
            raise InvalidKeyError("malformed") from error
        if key.workspace != workspace:
            raise InvalidKeyError("issued to another workspace")
        return key


def is_issued(text: str) -> bool:
    """Return whether a key has the prefix of issued keys; its signature is not checked."""
    return text.startswith(PREFIX)


def _derive(key: bytes) -> bytes:
    return hmac.digest(key, DERIVATION_LABEL, hashlib.sha256)


def _mac(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]


def _to_text(body: bytes, mac: bytes) -> str:
    return f"{PREFIX}{_encode(body)}.{_encode(mac)}"


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
