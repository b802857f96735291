"""KNOWN-RED.txt, the list of tests that are known to fail."""

from __future__ import annotations

import pytest

from .known_red import KnownRed, load, parse


def test_a_line_names_a_test_with_or_without_its_parameters() -> None:
    (known,) = parse("\ntests/a.py::test_b | it leaks | issue 7\n")
    assert known == KnownRed("tests/a.py::test_b", "it leaks", "issue 7")
    assert known.matches("tests/a.py::test_b[close]") and not known.matches("tests/a.py::test_bb")


@pytest.mark.parametrize("text", ["tests/a.py::test_b", "test_b | it leaks | 7", "a::b | c | d\n" * 4])
def test_an_invalid_list_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        parse(text)


def test_tests_of_misbehaving_clients_do_not_count_against_the_cap() -> None:
    assert len(parse("a::b | c | issue 79\n" * 4 + "a::b | c | d\n" * 3)) == 7
    with pytest.raises(ValueError, match="4 tests"):
        parse("a::b | c | issue 79\n" + "a::b | c | d\n" * 4)


def test_a_flaky_test_may_pass() -> None:
    assert (
        not parse("a::b | at times it leaks | 7")[0].fails_always
        and parse("a::b | it leaks | 7")[0].fails_always
    )


def test_the_list_of_this_repository_is_valid() -> None:
    load()
