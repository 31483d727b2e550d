"""Authenticates both sides at the start of a stream between entries."""

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
    """The other side is not a valid peer: wrong protocol version, wrong key or no handshake."""


@attrs.frozen
class Identity:
    """Identifies an entry and its process.

    :ivar entry: name of the entry
    :ivar boot: unique to the process: a restarted entry has the same name and another boot
    """

    entry: str
    boot: str


async def run_as_dialler(
    stream: frames.FrameStream, own: Identity, keys: keyring.KeyRing
) -> Identity:
    """Run the handshake with the entry that this entry dialled.

    :return: the identity of the other entry
    :raises HandshakeError: when the other side does not prove that it has the key
    :raises frames.FrameError: when the stream breaks
    """
    own_hello = _hello(own)
    await _send(stream, own_hello)
    peer_hello = await _receive_hello(stream)
    await _send(stream, messages.Proof(_mac(keys.primary, DIALLER, own_hello, peer_hello)))
    primary_only = keyring.KeyRing((keys.primary,))
    await _verify_proof(
        stream,
        primary_only,
        functools.partial(_mac, role=LISTENER, dialler=own_hello, listener=peer_hello),
    )
    return Identity(peer_hello.entry, peer_hello.boot)


async def run_as_listener(
    stream: frames.FrameStream, own: Identity, keys: keyring.KeyRing
) -> Identity:
    """Run the handshake with an entry that dialled this entry.

    :return: the identity of the other entry
    :raises HandshakeError: when the other side does not prove that it has one of the keys
    :raises frames.FrameError: when the stream breaks
    """
    peer_hello = await _receive_hello(stream)
    own_hello = _hello(own)
    await _send(stream, own_hello)
    # The dialler sends its proof first, so an unauthenticated client gets no proof from this entry.
    compute_mac = functools.partial(_mac, role=DIALLER, dialler=peer_hello, listener=own_hello)
    key = await _verify_proof(stream, keys, compute_mac)
    await _send(stream, messages.Proof(_mac(key, LISTENER, peer_hello, own_hello)))
    return Identity(peer_hello.entry, peer_hello.boot)


def _hello(own: Identity) -> messages.Hello:
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    return messages.Hello(messages.PROTOCOL_VERSION, own.entry, own.boot, challenge)


def _mac(key: bytes, role: str, dialler: messages.Hello, listener: messages.Hello) -> bytes:
    # The MAC covers both challenges, so a recorded handshake cannot be replayed. It covers the
    # role, so a proof cannot be reflected to its sender as the other side's proof.
    signed_fields = [role, *attrs.astuple(dialler), *attrs.astuple(listener)]
    return hmac.digest(key, msgpack.packb(signed_fields), hashlib.sha256)


async def _receive_hello(stream: frames.FrameStream) -> messages.Hello:
    hello = await _receive(stream, messages.Hello)
    if hello.protocol != messages.PROTOCOL_VERSION:
        raise HandshakeError(
            f"protocol {hello.protocol} received, {messages.PROTOCOL_VERSION} expected"
        )
    if len(hello.challenge) != CHALLENGE_BYTES or not hello.entry:
        raise HandshakeError(
            f"malformed hello: no entry name, or the challenge is not {CHALLENGE_BYTES} bytes long"
        )
    return hello


async def _verify_proof(
    stream: frames.FrameStream, keys: keyring.KeyRing, compute_mac: keyring.Derive
) -> bytes:
    proof = await _receive(stream, messages.Proof)
    key = keys.find(proof.mac, compute_mac)
    if key is None:
        raise HandshakeError("invalid proof: the peer has another key or replays a handshake")
    return key


async def _send(stream: frames.FrameStream, message: messages.Message) -> None:
    await stream.send([messages.encode(message)])


async def _receive(stream: frames.FrameStream, kind: type):
    try:
        message = messages.decode(await stream.receive())
    except messages.MessageError as error:
        raise HandshakeError(f"malformed handshake: {error}") from error
    if not isinstance(message, kind):
        raise HandshakeError(f"{type(message).__name__} received, {kind.__name__} expected")
    return message
