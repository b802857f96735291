"""Parsing JSON and YAML: values, limits, and one error with its position for invalid text."""

from __future__ import annotations

import json
import time
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.text import MAX_DEPTH, TextError, parse


def alias_bomb(levels: int) -> bytes:
    """Build YAML whose aliases expand to ten to the power of `levels` values."""
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
    for n in range(1, levels):
        lines.append(f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 10)}]")
    return "\n".join(lines).encode()


def test_yaml_and_json_give_the_same_values() -> None:
    value = {"a": [1, 2.5, True, None, "x"], "b": {"200": "y"}}
    assert parse(json.dumps(value).encode()) == value
    assert parse(b'a: [1, 2.5, true, null, x]\nb: {200: "y"}') == value
    assert parse(b"\xef\xbb\xbfa: 1") == {"a": 1}


def test_yaml_strings_are_not_taken_for_booleans_or_dates() -> None:
    assert parse(b"a: no\nb: on\nc: 2024-01-02\nd: '1'\n") == {
        "a": "no",
        "b": "on",
        "c": "2024-01-02",
        "d": "1",
    }


def test_merge_keys_are_plain_keys() -> None:
    assert parse(b"a: &a {x: 1}\nb:\n  <<: *a\n  y: 2\n") == {"a": {"x": 1}, "b": {"<<": {"x": 1}, "y": 2}}


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b'{"a": 1, "a": 2}', "duplicate key 'a'"),
        (b"a: 1\na: 2\n", "line 2, column 1: duplicate key 'a'"),
        (b'{"a": NaN}', "NaN"),
        (b'{"a": ', "line 1"),
        (b"a: [1, 2\nb: 3", "line 2"),
        (b"a: &a [*a]", "contains itself"),
        (b"a: &a {b: *a}", "contains itself"),
        (b"", "empty"),
        (b"a: !!python/object/apply:os.system [x]", "could not determine a constructor"),
        (b"? [a]\n: b", "a key is not plain text"),
        (b"a: b\xff\n", "line 1, column 5: not UTF-8"),
        (b"[" * 100_000, "nested too deeply"),
        (b"- " * (MAX_DEPTH + 5), "nested too deeply"),
    ],
)
def test_invalid_text_is_reported_with_its_position(data: bytes, expected: str) -> None:
    with pytest.raises(TextError) as caught:
        parse(data)
    assert expected in str(caught.value) and "\n" not in str(caught.value)


def test_aliases_that_would_expand_to_gigabytes_are_refused_first() -> None:
    assert len(alias_bomb(3)) < 300 and len(parse(alias_bomb(3))["a2"]) == 10
    tracemalloc.start()
    began = time.process_time()
    with pytest.raises(TextError, match="too large after expansion"):
        parse(alias_bomb(30))
    assert tracemalloc.get_traced_memory()[1] < 50 << 20
    assert time.process_time() - began < 5
    tracemalloc.stop()


@given(st.binary(max_size=200))
def test_any_bytes_give_a_value_or_an_error_of_one_line(data: bytes) -> None:
    try:
        parse(data)
    except TextError as error:
        assert "\n" not in str(error)


@given(st.integers(0, 400))
def test_a_truncated_file_is_an_error(cut: int) -> None:
    whole = json.dumps({"openapi": "3.0.0", "paths": {"/a": {"get": {"x": ["y" * 30] * 10}}}}).encode()
    if cut < len(whole):
        with pytest.raises(TextError):
            parse(whole[:cut])
