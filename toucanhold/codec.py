"""Encoding of attrs objects to JSON and msgpack, and decoding."""

import json
import math
import typing

import cattrs
import msgpack

from toucanhold import parsing

CONVERTER = cattrs.Converter(forbid_extra_keys=True)
# Entries of adjacent versions run at the same time during a rolling upgrade; the older ones must
# not reject a whole message because of a field that they do not know.
TOLERANT_CONVERTER = cattrs.Converter()

T = typing.TypeVar("T")


def _structure_bytes(value: object, _: type) -> bytes:
    # cattrs would call bytes(value), and bytes(n) allocates n bytes if a peer sends an integer.
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, got {type(value).__name__}")
    return value


def _structure_int(value: object, _: type) -> int:
    # int() would also accept texts, and numbers that msgpack cannot encode again.
    return parsing.whole(value, -parsing.MAX_WHOLE)


def _structure_float(value: object, _: type) -> float:
    # Ages of what never happened are infinite.
    return float(parsing.number(value, -math.inf, math.inf))


def _structure_str(value: object, _: type) -> str:
    return parsing.text(value)


def _structure_bool(value: object, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {type(value).__name__}")
    return value


def _counts_hook(
    structure: typing.Callable[[object, type], dict[str, int]],
) -> typing.Callable[[object, type], dict[str, int]]:
    """Return a hook for counts by name, which are most of what entries send each other."""

    def structure_counts(value: object, kind: type) -> dict[str, int]:
        if type(value) is dict and all(
            type(name) is str
            and name.isascii()
            and type(count) is int
            and abs(count) <= parsing.MAX_WHOLE
            for name, count in value.items()
        ):
            return value
        return structure(value, kind)

    return structure_counts


for _converter in (CONVERTER, TOLERANT_CONVERTER):
    _converter.register_structure_hook(bytes, _structure_bytes)
    _converter.register_structure_hook(int, _structure_int)
    _converter.register_structure_hook(float, _structure_float)
    _converter.register_structure_hook(str, _structure_str)
    _converter.register_structure_hook(bool, _structure_bool)
    _converter.register_structure_hook_func(
        lambda kind: kind == dict[str, int],
        _counts_hook(_converter.get_structure_hook(dict[str, int])),
    )


class CodecError(Exception):
    """Data cannot be decoded as the expected type; the message names each error with its path."""


def to_json(value: object) -> bytes:
    """Encode an attrs object as compact JSON."""
    return json.dumps(CONVERTER.unstructure(value), separators=(",", ":")).encode()


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON that a program wrote, ignoring fields that ``kind`` does not have.

    During a rolling upgrade older entries read records of newer ones. Rejecting a record because
    of an additional field would stop the older entries.

    :raises CodecError: on malformed JSON, missing fields or wrong types
    """
    return from_plain_tolerant(_parse_json(data), kind)


def from_json_strict(data: bytes, kind: type[T]) -> T:
    """Decode JSON that a person wrote; an unknown field is an error, since it may be misspelt.

    :raises CodecError: on malformed JSON, unknown or missing fields, or wrong types
    """
    return from_plain(_parse_json(data), kind)


def from_plain(value: object, kind: type[T]) -> T:
    """Build ``kind`` from maps, lists and scalars.

    :raises CodecError: on unknown or missing fields, or wrong types
    """
    try:
        return CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise CodecError("; ".join(_error_texts(error))) from error


def from_plain_tolerant(value: object, kind: type[T]) -> T:
    """Build ``kind`` from maps, lists and scalars, ignoring unknown fields.

    :raises CodecError: on missing fields or wrong types
    """
    try:
        return TOLERANT_CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise CodecError("; ".join(_error_texts(error))) from error


def pack_tagged(tag: str, value: object) -> bytes:
    """Encode an attrs object as a msgpack pair of a type tag and the object."""
    return msgpack.packb((tag, TOLERANT_CONVERTER.unstructure(value)))


def unpack_tagged(data: bytes) -> tuple[str, object]:
    """Decode a msgpack pair into its type tag and maps, lists and scalars.

    :raises CodecError: when the tag is missing or the bytes are malformed
    """
    try:
        tag, plain = parsing.load_msgpack(data)
    except (ValueError, TypeError) as error:
        raise CodecError(f"not a pair of a tag and a value: {error}") from error
    if not isinstance(tag, str):
        raise CodecError(f"expected a string as tag, got {type(tag).__name__}")
    return tag, plain


def _parse_json(data: bytes) -> object:
    try:
        return parsing.load_json(data)
    except parsing.ParseError as error:
        raise CodecError(str(error)) from error


def _error_texts(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error)
    return [f"{type(error).__name__}: {error}"]
