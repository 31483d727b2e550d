"""Typed data to and from JSON and msgpack."""

import json
import typing

import cattrs
import msgpack

CONVERTER = cattrs.Converter(forbid_extra_keys=True)
# Entries of neighbouring versions run side by side while they are replaced one by one; a field
# that the older one does not know must not cost it the whole message.
TOLERANT_CONVERTER = cattrs.Converter()

T = typing.TypeVar("T")


def _bytes(value: object, _: type) -> bytes:
    # The library would call bytes(value), and bytes(number) allocates as many as the number says.
    if not isinstance(value, bytes):
        raise TypeError("bytes were expected")
    return value


for _converter in (CONVERTER, TOLERANT_CONVERTER):
    _converter.register_structure_hook(bytes, _bytes)


class CodecError(Exception):
    """Bytes or values do not have the expected shape; the text names each mistake by path."""


def to_json(value: object) -> bytes:
    """Encode an attrs object as compact JSON."""
    return json.dumps(CONVERTER.unstructure(value), separators=(",", ":")).encode()


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode what a program wrote; fields that ``kind`` does not have are passed over.

    While entries are replaced one after another, older ones read what newer ones write. To refuse
    a record for a field too many would stop the older ones.

    :raises CodecError: on malformed JSON or a wrong shape
    """
    return from_plain_tolerant(_load(data), kind)


def from_json_strict(data: bytes, kind: type[T]) -> T:
    """Decode what a person wrote: an unknown field is a mistake, such as a misspelt one.

    :raises CodecError: on malformed JSON or a wrong shape
    """
    return from_plain(_load(data), kind)


def from_plain(value: object, kind: type[T]) -> T:
    """Turn plain maps and lists into ``kind``.

    :raises CodecError: on a wrong shape
    """
    try:
        return CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise CodecError("; ".join(_describe(error))) from error


def from_plain_tolerant(value: object, kind: type[T]) -> T:
    """Turn plain maps and lists into ``kind``; fields that it lacks are left out.

    :raises CodecError: on a wrong shape
    """
    try:
        return TOLERANT_CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
        raise CodecError("; ".join(_describe(error))) from error


def pack_tagged(tag: str, value: object) -> bytes:
    """Encode an attrs object as msgpack, with a tag that tells its kind."""
    return msgpack.packb((tag, TOLERANT_CONVERTER.unstructure(value)))


def unpack_tagged(data: bytes) -> tuple[str, object]:
    """Decode msgpack into a tag and plain maps and lists.

    :raises CodecError: when there is no tag, or the bytes are malformed
    """
    try:
        tag, plain = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CodecError(f"not valid msgpack: {error!r}") from error
    if not isinstance(tag, str):
        raise CodecError("the tag is no text")
    return tag, plain


def _load(data: bytes) -> object:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise CodecError(f"not valid JSON: {error}") from error


def _describe(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error)
    return [f"{type(error).__name__}: {error}"]
