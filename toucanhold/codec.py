"""Typed data to and from JSON and msgpack."""

import json
import typing

import cattrs
import msgpack

CONVERTER = cattrs.Converter(forbid_extra_keys=True)

T = typing.TypeVar("T")


class CodecError(Exception):
    """Bytes or values do not have the expected shape; the text names each mistake by path."""


def to_json(value: object) -> bytes:
    """Encode an attrs object as compact JSON."""
    return json.dumps(CONVERTER.unstructure(value), separators=(",", ":")).encode()


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON into ``kind``.

    :raises CodecError: on malformed JSON or a wrong shape
    """
    try:
        return from_plain(json.loads(data), kind)
    except (ValueError, RecursionError) as error:
        raise CodecError(f"not valid JSON: {error}") from error


def from_plain(value: object, kind: type[T]) -> T:
    """Turn plain maps and lists into ``kind``.

    :raises CodecError: on a wrong shape
    """
    try:
        return CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise CodecError("; ".join(_describe(error))) from error


def to_msgpack(value: object) -> bytes:
    """Encode an attrs object as msgpack."""
    return msgpack.packb(CONVERTER.unstructure(value))


def _describe(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error)
    return [f"{type(error).__name__}: {error}"]
