"""Bounds the memory that a JSON text takes once it is decoded, before it is decoded.  Pure.

An empty list takes two bytes as text and some 70 in memory, so a text's length says little about that.
"""

from __future__ import annotations

import msgspec

MAX_VALUES = 1_000_000  # of one text; each takes up to about 90 bytes
MIN_CHECKED_BYTES = 64 << 10  # shorter texts are not worth a check
STRING_START = 0x22  # a quotation mark
_decode_fields = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode


def count_values(text: bytes) -> int:
    """Return at least as many values as the text holds, by the signs that begin or separate them."""
    return text.count(b"[") + text.count(b"{") + text.count(b",") + 1


def has_too_many_values(text: bytes) -> bool:
    """Whether a text may hold more than `MAX_VALUES` values; signs within strings count as well."""
    return len(text) >= MIN_CHECKED_BYTES and count_values(text) > MAX_VALUES


def object_has_too_many_values(text: bytes) -> bool:
    """Whether an object's members may hold more than `MAX_VALUES` values; those that are strings hold one.

    Raises msgspec.DecodeError if the text is no object.
    """
    if not has_too_many_values(text):
        return False
    members = [bytes(member) for member in _decode_fields(text).values()]
    return sum(1 if member[0] == STRING_START else count_values(member) for member in members) > MAX_VALUES
