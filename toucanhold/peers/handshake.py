"""Mutual authentication at the start of a stream between entries."""

import functools
import hashlib
import hmac
import secrets

import attrs
import msgpack

from toucanhold import keyring
from toucanhold.peers import frames, messages

CHALLENGE_BYTES = 32
HANDSHAKE_FRAME_LIMIT_BYTES = 1024
DIALLER = "dialler"
LISTENER = "listener"


class HandshakeError(Exception):
    """The other side is not a peer: wrong version, wrong key, or no handshake at all."""


@attrs.frozen
class Identity:
    """An entry's name and its process.

    :ivar boot: unique to the process: a restarted entry has the same name and another boot
    """

    entry: str
    boot: str


async def as_dialler(stream: frames.FrameStream, own: Identity, keys: keyring.KeyRing) -> Identity:
    """Authenticate with the entry that was dialled; return who it is.

    :raises HandshakeError: when it does not prove that it has the key
    :raises frames.FrameError: when the stream breaks
    """
    mine = _hello(own)
    await _send(stream, mine)
    theirs = await _receive_hello(stream)
    await _send(stream, messages.Proof(_mac(keys.primary, DIALLER, mine, theirs)))
    used = keyring.KeyRing((keys.primary,))
    await _check(
        stream, used, functools.partial(_mac, role=LISTENER, dialler=mine, listener=theirs)
    )
    return Identity(theirs.entry, theirs.boot)


async def as_listener(stream: frames.FrameStream, own: Identity, keys: keyring.KeyRing) -> Identity:
    """Authenticate with the entry that dialled; return who it is.

    :raises HandshakeError: when it does not prove that it has the key
    :raises frames.FrameError: when the stream breaks
    """
    theirs = await _receive_hello(stream)
    mine = _hello(own)
    await _send(stream, mine)
    # The dialler proves itself first, so a stranger gets no proof out of this entry.
    proof = functools.partial(_mac, role=DIALLER, dialler=theirs, listener=mine)
    key = await _check(stream, keys, proof)
    await _send(stream, messages.Proof(_mac(key, LISTENER, theirs, mine)))
    return Identity(theirs.entry, theirs.boot)


def _hello(own: Identity) -> messages.Hello:
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    return messages.Hello(messages.PROTOCOL_VERSION, own.entry, own.boot, challenge)


def _mac(key: bytes, role: str, dialler: messages.Hello, listener: messages.Hello) -> bytes:
    # Both challenges are covered, so a recorded handshake proves nothing later; the role is
    # covered, so one side's proof cannot be reflected to it as the other's.
    covered = [role, *attrs.astuple(dialler), *attrs.astuple(listener)]
    return hmac.digest(key, msgpack.packb(covered), hashlib.sha256)


async def _receive_hello(stream: frames.FrameStream) -> messages.Hello:
    hello = await _receive(stream, messages.Hello)
    if hello.protocol != messages.PROTOCOL_VERSION:
        raise HandshakeError(f"protocol {hello.protocol}, not {messages.PROTOCOL_VERSION}")
    if len(hello.challenge) != CHALLENGE_BYTES or not hello.entry:
        raise HandshakeError("malformed hello")
    return hello


async def _check(
    stream: frames.FrameStream, keys: keyring.KeyRing, expected: keyring.Derive
) -> bytes:
    proof = await _receive(stream, messages.Proof)
    key = keys.find(proof.mac, expected)
    if key is None:
        raise HandshakeError("the proof does not fit: another key, or a replayed handshake")
    return key


async def _send(stream: frames.FrameStream, message: messages.Message) -> None:
    await stream.send([messages.encode(message)])


async def _receive(stream: frames.FrameStream, kind: type):
    try:
        message = messages.decode(await stream.receive())
    except messages.MessageError as error:
        raise HandshakeError(f"malformed handshake: {error}") from error
    if not isinstance(message, kind):
        raise HandshakeError(f"{kind.__name__} was expected, not {type(message).__name__}")
    return message
