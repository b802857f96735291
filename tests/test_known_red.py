"""The list of tests that are known to fail."""

from __future__ import annotations

import pytest

from .known_red import KnownRed, load, parse


def test_a_line_names_a_test_with_or_without_its_parameters() -> None:
    (known,) = parse("\ntests/a.py::test_b | it leaks | issue 7\n")
    assert known == KnownRed("tests/a.py::test_b", "it leaks", "issue 7")
    assert known.names("tests/a.py::test_b[close]") and not known.names("tests/a.py::test_bb")


@pytest.mark.parametrize("text", ["tests/a.py::test_b", "test_b | it leaks | 7", "a::b | c | d\n" * 4])
def test_what_is_no_list_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        parse(text)


def test_a_fault_that_does_not_always_show_may_pass() -> None:
    assert not parse("a::b | at times it leaks | 7")[0].always and parse("a::b | it leaks | 7")[0].always


def test_the_list_is_whole() -> None:
    load()
