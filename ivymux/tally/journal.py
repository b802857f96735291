"""The counter service's file format: a header, then one checksummed record for each change.  Pure.

A record holds the total after the change rather than the amount, so reading a record twice is harmless.  If
the process was killed during a write, the incomplete record at the end fails its checksum, and reading stops
there.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

MAGIC = b"ivymux tally 1\n"
HEADER = struct.Struct(">16sI")  # incarnation, checksum of the magic and the incarnation
RECORD = struct.Struct(">IBdd")  # checksum of the rest, length of the name, total, expiry time
RECORD_BODY = struct.Struct(">Bdd")  # the same without the checksum


class JournalError(ValueError):
    """A file has no valid header; such a file is never overwritten."""


@dataclass(slots=True)
class JournalContents:
    """The contents of a file."""

    incarnation: bytes
    totals: dict[bytes, tuple[float, float]]  # by name: total and expiry (Unix time)
    valid_bytes: int  # up to the end of the last valid record
    records: int


def encode_header(incarnation: bytes) -> bytes:
    """Encode the start of a file."""
    return MAGIC + HEADER.pack(incarnation, crc32(MAGIC + incarnation))


def encode_record(name: bytes, total: float, expires_at: float) -> bytes:
    """Encode one change: the new total, and the Unix time at which the name expires."""
    body = RECORD_BODY.pack(len(name), total, expires_at) + name
    return crc32(body).to_bytes(4, "big") + body


def parse_journal(data: bytes) -> JournalContents:
    """Parse a file up to its last valid record.  Raises JournalError if the header is invalid."""
    header_end = len(MAGIC) + HEADER.size
    if data[: len(MAGIC)] != MAGIC or len(data) < header_end:
        raise JournalError("not a counter file of this version")
    incarnation, checksum = HEADER.unpack_from(data, len(MAGIC))
    if crc32(MAGIC + incarnation) != checksum:
        raise JournalError("the counter file's header is damaged")
    contents = JournalContents(incarnation, {}, header_end, 0)
    totals, offset, size = contents.totals, header_end, len(data)
    view = memoryview(data)
    while offset + RECORD.size <= size:
        checksum, name_length, total, expires_at = RECORD.unpack_from(data, offset)
        next_offset = offset + RECORD.size + name_length
        if next_offset > size or crc32(view[offset + 4 : next_offset]) != checksum:
            break
        name = data[offset + RECORD.size : next_offset]
        totals[name] = total, expires_at
        offset = next_offset
        contents.records += 1
    contents.valid_bytes = offset
    return contents
