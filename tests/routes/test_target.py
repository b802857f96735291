"""Request targets are normalized, and ambiguous ones are refused."""

from __future__ import annotations

from urllib.parse import quote, unquote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.routes.target import TargetError, parse_target


@pytest.mark.parametrize(
    ("target", "path", "segments"),
    [
        (b"/", b"/", [""]),
        (b"/a/b", b"/a/b", ["a", "b"]),
        (b"/a/", b"/a/", ["a", ""]),
        (b"/%61/b", b"/a/b", ["a", "b"]),
        (b"/a%20b", b"/a%20b", ["a b"]),
        (b"/a%2bb", b"/a+b", ["a+b"]),
        (b"/caf%c3%a9", b"/caf%C3%A9", ["caf\u00e9"]),
        (b"/a%3bx=1", b"/a%3Bx=1", ["a;x=1"]),
        (b"/a%3fb", b"/a%3Fb", ["a?b"]),
        (b"/.well-known/x", b"/.well-known/x", [".well-known", "x"]),
        (b"/a..b", b"/a..b", ["a..b"]),
        (b"http://h:80/a", b"/a", ["a"]),
        (b"HTTPS://h", b"/", [""]),
    ],
)
def test_targets_are_normalized(target: bytes, path: bytes, segments: list[str]) -> None:
    parsed = parse_target(target)
    assert (parsed.path, parsed.segments) == (path, segments)


def test_the_query_is_unchanged_and_an_absolute_form_names_the_host() -> None:
    parsed = parse_target(b"http://other:81/a?x=%41&y=//../;z")
    assert (parsed.path, parsed.query, parsed.authority) == (b"/a", b"x=%41&y=//../;z", b"other:81")
    assert parse_target(b"/a").query is None and parse_target(b"/a?").query == b""


@pytest.mark.parametrize(
    "target",
    [
        b"/a//b", b"//a", b"/a/./b", b"/a/../b", b"/..", b"/a/%2e%2e/b", b"/a/%2E", b"/a/.%2e/b",
        b"/a%2Fb", b"/a%2fb", b"/a%5Cb", b"/a\\b", b"/a%00", b"/a%0d%0ab", b"/a%7f", b"/a;x=1", b"/;/b",
        b"/a%252Fb", b"/a%2541", b"/a%", b"/a%4", b"/a%zz", b"/a%ff", b"/%c0%af", b"/a b", b"/a\x01", b"/a#b",
        b"/\xc3\xa9", b"*", b"a", b"", b"h:443", b"ftp://h/a", b"http:///a", b"http://u@h/a", b"/a{b}", b'/"',
        b"/" + b"a/" * 100,
    ],
)  # fmt: skip
def test_ambiguous_targets_are_refused(target: bytes) -> None:
    with pytest.raises(TargetError):
        parse_target(target)


SEGMENT = st.text(st.characters(codec="utf-8", exclude_characters="/\\%"), min_size=1, max_size=8)


def percent_encode(text: str, choices: list[int]) -> str:
    """Percent-encode some characters of a segment, with hex digits in upper or lower case."""
    encoded = ""
    for index, char in enumerate(text):
        escaped = "".join(f"%{byte:02x}" for byte in char.encode())
        choice = choices[index % len(choices)]
        plain = char if char.isascii() and (char.isalnum() or char in "-._~!$&'()*+,=:@") else None
        encoded += plain if plain and choice == 0 else escaped.upper() if choice == 1 else escaped
    return encoded


@given(st.lists(SEGMENT, min_size=1, max_size=4), st.lists(st.integers(0, 2), min_size=1, max_size=9))
def test_all_encodings_are_normalized_to_one_that_stays_as_it_is(
    segments: list[str], choices: list[int]
) -> None:
    plain = "/" + "/".join(quote(s, safe="") for s in segments)
    other = "/" + "/".join(percent_encode(s, choices) for s in segments)
    try:
        first = parse_target(plain.encode())
    except TargetError:
        with pytest.raises(TargetError):
            parse_target(other.encode())
        return
    second = parse_target(other.encode())
    assert (first.path, first.segments) == (second.path, second.segments)
    assert first.segments == segments
    again = parse_target(first.path)
    assert (again.path, again.segments) == (first.path, first.segments)


@given(st.binary(max_size=40).map(lambda b: b"/" + b))
def test_a_backend_decodes_an_accepted_target_to_the_same_segments(target: bytes) -> None:
    try:
        parsed = parse_target(target)
    except TargetError:
        return
    assert [unquote(s, errors="strict") for s in parsed.path.decode()[1:].split("/")] == parsed.segments
    assert not any(s in (".", "..") for s in parsed.segments) and "" not in parsed.segments[:-1]
