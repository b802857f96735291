"""Request targets (RFC 9112, 3.2) in one spelling: what is matched is what is sent on."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import quote_from_bytes, unquote_to_bytes

MAX_SEGMENTS = 64
UNRESERVED = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
PLAIN = UNRESERVED + b"!$&'()*+,=:@/"  # what a path in the one spelling is made of
QUERY = bytes(c for c in range(33, 127) if c != ord("#"))
SPELT = re.compile(rb"(/[A-Za-z0-9\-._~!$&'()*+,=:@/;%]*)(?:\?([!-\"$-~]*))?")
ABSOLUTE = re.compile(rb"[hH][tT][tT][pP][sS]?://([A-Za-z0-9\-._~:\[\]]+)(/[^#]*|\?[^#]*)?")
ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
TWICE = re.compile(rb"%[0-9A-Fa-f]{2}")
SENT = "!$&'()*+,=:@"  # with the unreserved ones, what stands in a segment as it is (RFC 3986, 3.3)


class TargetError(ValueError):
    """A target with more than one reading.  It is not served: a worker might take the other one."""


@dataclass(slots=True)
class Target:
    path: bytes  # as it goes to the worker
    query: bytes | None  # as it came, without the question mark
    segments: list[str]  # percent-decoded
    authority: bytes = b""  # of an absolute-form target; it stands for Host


def read_target(target: bytes) -> Target:
    """A target in its one spelling.  Raises TargetError.

    Refused, each for what some servers make of it: dot segments and doubled slashes (merged), an encoded
    slash, backslash, NUL or control (decoded late), `;` (path parameters cut off), an escape of an escape
    (decoded twice), what is not UTF-8 (overlong slashes).
    """
    # Nearly all targets are in the one spelling already; looks without a regular expression tell.
    path, mark, query = target.partition(b"?")
    if not path.translate(None, PLAIN) and not (query and query.translate(None, QUERY)):
        text = path.decode("ascii")
        if text[:1] == "/" and "//" not in text and "/." not in text:
            segments = text[1:].split("/")
            if len(segments) <= MAX_SEGMENTS:
                return Target(path, query if mark else None, segments)
    return unusual(target)


def unusual(target: bytes) -> Target:
    authority = b""
    if not target.startswith(b"/"):
        absolute = ABSOLUTE.fullmatch(target)
        if absolute is None:
            raise TargetError("the target is neither a path nor an http address")
        authority, rest = absolute[1], absolute[2] or b"/"
        target = rest if rest.startswith(b"/") else b"/" + rest
    found = SPELT.fullmatch(target)
    if found is None:
        raise TargetError("the target holds a character that is not allowed there; percent-encode it")
    path, query = found.groups()
    if b";" in path:
        raise TargetError("a raw ';' in the path is not served; percent-encode it")
    if ESCAPE.search(path):
        raise TargetError("a percent sign that begins no escape")
    raw = path[1:].split(b"/")
    if len(raw) > MAX_SEGMENTS:
        raise TargetError("too many segments")
    segments = [read_segment(part, number == len(raw) - 1) for number, part in enumerate(raw)]
    sent = "/" + "/".join(quote_from_bytes(segment.encode(), SENT) for segment in segments)
    return Target(sent.encode("ascii"), query, segments, authority)


def read_segment(raw: bytes, last: bool) -> str:
    plain = unquote_to_bytes(raw)
    if plain in (b".", b".."):
        raise TargetError("dot segments are not served")
    if not plain and not last:
        raise TargetError("doubled slashes are not served")
    if b"/" in plain or b"\\" in plain:
        raise TargetError("an encoded slash or backslash is not served")
    if TWICE.search(plain):
        raise TargetError("an escape of an escape is not served")
    if any(c < 32 or c == 127 for c in plain):
        raise TargetError("an encoded control character is not served")
    try:
        return plain.decode("utf-8")
    except UnicodeDecodeError:
        raise TargetError("the path is not UTF-8") from None
