"""Parses and normalizes request targets (RFC 9112, 3.2).

Routes are matched on the normalized path, and the same path is sent to the backend.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import quote_from_bytes, unquote_to_bytes

MAX_SEGMENTS = 64
UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
NORMAL_PATH = UNRESERVED + b"!$&'()*+,=:@/"  # the characters of a normalized path without escapes
QUERY_CHARACTERS = bytes(c for c in range(33, 127) if c != ord("#"))
PATH_AND_QUERY = re.compile(rb"(/[A-Za-z0-9\-._~!$&'()*+,=:@/;%]*)(?:\?([!-\"$-~]*))?")
ABSOLUTE = re.compile(rb"[hH][tT][tT][pP][sS]?://([A-Za-z0-9\-._~:\[\]]+)(/[^#]*|\?[^#]*)?")
INVALID_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
ESCAPED_ESCAPE = re.compile(rb"%[0-9A-Fa-f]{2}")
SEGMENT_SAFE = "!$&'()*+,=:@"  # not escaped in a segment, besides the unreserved characters (RFC 3986, 3.3)


class TargetError(ValueError):
    """A malformed or ambiguous target.  It is refused because a backend might interpret it differently."""


@dataclass(slots=True)
class Target:
    """A normalized request target."""

    path: bytes  # as it is sent to the backend
    query: bytes | None  # as it was received, without the question mark
    segments: list[str]  # percent-decoded
    authority: bytes = b""  # of an absolute-form target; it replaces the Host header


def parse_target(target: bytes) -> Target:
    """Normalize a target.  Raises TargetError.

    Refused are forms that some servers rewrite: dot segments and empty segments (merged), an encoded slash,
    backslash, NUL or control character (decoded late), `;` (path parameters are cut off), an escaped escape
    (decoded twice), and bytes that are not UTF-8 (overlong encodings of a slash).
    """
    # Nearly all targets are normalized already; this check needs no regular expression.
    path, mark, query = target.partition(b"?")
    if not path.translate(None, NORMAL_PATH) and not (query and query.translate(None, QUERY_CHARACTERS)):
        text = path.decode("ascii")
        if text[:1] == "/" and "//" not in text and "/." not in text:
            segments = text[1:].split("/")
            if len(segments) <= MAX_SEGMENTS:
                return Target(path, query if mark else None, segments)
    return normalize_target(target)


def normalize_target(target: bytes) -> Target:
    """Normalize a target that has escapes or is in absolute form.  Raises TargetError."""
    authority = b""
    if not target.startswith(b"/"):
        absolute = ABSOLUTE.fullmatch(target)
        if absolute is None:
            raise TargetError("the target is neither a path nor an http address")
        authority, rest = absolute[1], absolute[2] or b"/"
        target = rest if rest.startswith(b"/") else b"/" + rest
    matched = PATH_AND_QUERY.fullmatch(target)
    if matched is None:
        raise TargetError("the target holds a character that is not allowed there; percent-encode it")
    path, query = matched.groups()
    if b";" in path:
        raise TargetError("a raw ';' in the path is not served; percent-encode it")
    if INVALID_ESCAPE.search(path):
        raise TargetError("a percent sign that begins no escape")
    raw = path[1:].split(b"/")
    if len(raw) > MAX_SEGMENTS:
        raise TargetError("too many segments")
    segments = [decode_segment(part, index == len(raw) - 1) for index, part in enumerate(raw)]
    normal_path = "/" + "/".join(quote_from_bytes(segment.encode(), SEGMENT_SAFE) for segment in segments)
    return Target(normal_path.encode("ascii"), query, segments, authority)


def decode_segment(raw: bytes, is_last: bool) -> str:
    """Percent-decode a path segment.  Raises TargetError."""
    decoded = unquote_to_bytes(raw)
    if decoded in (b".", b".."):
        raise TargetError("dot segments are not served")
    if not decoded and not is_last:
        raise TargetError("doubled slashes are not served")
    if b"/" in decoded or b"\\" in decoded:
        raise TargetError("an encoded slash or backslash is not served")
    if ESCAPED_ESCAPE.search(decoded):
        raise TargetError("an escape of an escape is not served")
    if any(c < 32 or c == 127 for c in decoded):
        raise TargetError("an encoded control character is not served")
    try:
        return decoded.decode("utf-8")
    except UnicodeDecodeError:
        raise TargetError("the path is not UTF-8") from None
