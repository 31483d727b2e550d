"""Strict readers of the JSON, msgpack, numbers and texts that other processes write.

What they return is safe to use later: numbers are finite and within bounds, and texts can be
encoded, logged and sent in a header.
"""

from __future__ import annotations

import functools
import ipaddress
import json
import math
import typing

import msgpack

MAX_WHOLE = 2**63 - 1
MAX_WHOLE_DIGITS = 19
# Python converts longer texts to numbers in quadratic time, or not at all.
MAX_JSON_DIGITS = 40
MAX_NUMBER = 1e15
MAX_NAME_LENGTH = 1024
MAX_PORT = 65535
MAX_SHOWN_LENGTH = 60
# The longest IPv6 address has 45 characters, and brackets.
MAX_HOST_LENGTH = 47
# Registrations of the same servers are read again and again.
CACHED_HOSTS = 16_384


class ParseError(ValueError):
    """A text or a value is not what was expected."""


def load_json(data: bytes | str) -> typing.Any:
    """Return the value of a JSON text.

    :raises ParseError: also for numbers that JSON has no notation for or that are out of range, and
        for values that are nested too deeply
    """
    try:
        return _JSON_DECODER.decode(data.decode() if isinstance(data, bytes) else data)
    except (ValueError, RecursionError) as error:
        raise ParseError(f"not valid JSON: {error}") from error


def load_msgpack(data: bytes) -> typing.Any:
    """Return the value of a msgpack message.

    :raises ParseError: when the bytes are malformed or nested too deeply
    """
    try:
        return msgpack.unpackb(data)
    except (
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise ParseError(f"not valid msgpack: {error!r}") from error


def whole(value: object, minimum: int = 0, maximum: int = MAX_WHOLE) -> int:
    """Return a whole number within bounds.

    :raises ParseError: when it is of another type or out of bounds
    """
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ParseError(f"expected a whole number of {minimum} to {maximum}, got {_shown(value)}")
    return value


def number(value: object, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> float:
    """Return a finite number within bounds.

    :raises ParseError: when it is of another type or out of bounds
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not minimum <= value <= maximum:
        raise ParseError(f"expected a number of {minimum:g} to {maximum:g}, got {_shown(value)}")
    return value


def name(value: object) -> str:
    """Return a text that is not empty and can be sent in a header.

    :raises ParseError: when it is of another type, too long, or has control characters
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= MAX_NAME_LENGTH
        or not value.isprintable()
        or value != value.strip()
    ):
        raise ParseError(f"expected a name of printable characters, got {_shown(value)}")
    return value


def text(value: object) -> str:
    """Return a text that can be encoded; it may be empty or have control characters.

    :raises ParseError: when it is of another type or has lone surrogates
    """
    if not isinstance(value, str):
        raise ParseError(f"expected a text, got {_shown(value)}")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ParseError(f"expected a text of Unicode characters: {error}") from error
    return value


def digits(value: str, maximum: int = MAX_WHOLE) -> int | None:
    """Return the number that ASCII digits stand for; None for other texts and larger numbers."""
    is_number = len(value) <= MAX_WHOLE_DIGITS and value.isascii() and value.isdigit()
    return int(value) if is_number and int(value) <= maximum else None


def ip_address(value: object) -> str:
    """Return a text of the form ``IP:port``; an IPv6 address stands in brackets.

    :raises ParseError: when it is of another form
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if len(host) > MAX_HOST_LENGTH or not _is_ip(host) or not digits(port, MAX_PORT):
        raise ParseError(f"expected IP:port, got {_shown(value)}")
    return typing.cast(str, value)


@functools.lru_cache(maxsize=CACHED_HOSTS)
def _is_ip(host: str) -> bool:
    is_bracketed = host.startswith("[") and host.endswith("]")
    if is_bracketed != (":" in host) or "%" in host:
        return False
    try:
        ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return True


def _parse_float(literal: str) -> float:
    value = float(literal)
    if not math.isfinite(value):
        raise ParseError(f"number out of range: {literal[:40]}")
    return value


def _parse_int(literal: str) -> int:
    if len(literal) > MAX_JSON_DIGITS:
        raise ParseError(f"number out of range: {literal[:40]}")
    return int(literal)


def _reject_constant(literal: str) -> typing.NoReturn:
    raise ParseError(f"JSON has no {literal}")


def _shown(value: object) -> str:
    """Return a value in short, for error messages."""
    if value is None or isinstance(value, str | bytes | bool | float):
        return ascii(value)[:MAX_SHOWN_LENGTH]
    return type(value).__name__


_JSON_DECODER = json.JSONDecoder(
    parse_float=_parse_float, parse_int=_parse_int, parse_constant=_reject_constant
)
