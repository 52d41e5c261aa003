"""Decode texts from outside, so that only `DecodingError` leaves a decoder."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

T = TypeVar("T")
_DECODER_ERRORS: Final = (
    msgspec.DecodeError,
    # Raised for values that are nested too deeply.
    RecursionError,
    UnicodeError,
    OverflowError,
)
_JSON_TOKEN: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)


class DecodingError(ValueError):
    """Signal that a text is not of the expected form."""


def make_json_decoder(decoded_type: type[T]) -> Callable[[bytes | str], T]:
    """Return a decoder of JSON that raises `DecodingError` only."""
    return _wrap_decoder(msgspec.json.Decoder(decoded_type).decode)


def make_msgpack_decoder(decoded_type: type[T]) -> Callable[[bytes], T]:
    """Return a decoder of MessagePack that raises `DecodingError` only."""
    return _wrap_decoder(msgspec.msgpack.Decoder(decoded_type).decode)


def _wrap_decoder(decode: Callable[..., T]) -> Callable[..., T]:
    def decode_text(data: bytes | str) -> T:
        try:
            return decode(data)
        except _DECODER_ERRORS as error:
            raise DecodingError(str(error)) from error

    return decode_text


@dataclass(frozen=True, slots=True)
class SplitText:
    """Represent a JSON object without the elements of one array, and these."""

    remainder: bytes
    elements: list[bytes]


def split_array(data: bytes, name: bytes) -> SplitText:
    """Cut the elements of an array, a member of a JSON object, out of its text.

    Unlike a decoder, this bears any depth of nesting. Raise `DecodingError` if there
    is no such array.
    """
    quoted_name = b'"' + name + b'"'
    depth = 0
    latest_string = b""
    array_start: int | None = None
    element_start = 0
    elements: list[bytes] = []
    for token in _JSON_TOKEN.finditer(data):
        text = token.group()
        if text[:1] == b'"':
            latest_string = text if depth == 1 else latest_string
        elif text in b"[{":
            depth += 1
            if depth == 2 and text == b"[" and latest_string == quoted_name:
                array_start = element_start = token.end()
        elif text == b",":
            if array_start is not None and depth == 2:
                elements.append(data[element_start : token.start()])
                element_start = token.end()
        else:
            depth -= 1
            if array_start is not None and depth == 1:
                last = data[element_start : token.start()]
                elements += [last] if last.strip() else []
                return SplitText(data[:array_start] + data[token.start() :], elements)
    raise DecodingError(f"no array {name.decode()}")
