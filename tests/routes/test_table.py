"""What a request is handled by: class, key and cost, and what would hide its method."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.routes.classes import MAX_CLASSES, ClassTable, TooManyClasses
from ivymux.routes.compare import compare
from ivymux.routes.table import BadParameter, Decision, NoRoute, Table
from orchidhill.interface import Effect, RequestClass, Scope

from .describing import compiled, described, operation

LIMIT = {"name": "limit", "in": "query", "schema": {"type": "integer"}}
BY_LIMIT = {"from": "query.limit", "per": 100, "most": 5}


def table(paths: dict[str, Any], classes: ClassTable | None = None) -> Table:
    made = Table(compiled(described(paths)), classes or ClassTable(6.0, Scope.CELL))
    assert len(list(made.build())) < 9
    made.enter()
    return made


def decide(made: Table, line: str, **headers: str) -> Decision:
    method, target = line.split()
    fields = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return made.decide(method, target.encode(), fields)


def cls(made: Table, decision: Decision) -> RequestClass:
    return made.classes.listed[decision.cls]


# --- keys --------------------------------------------------------------------------------------------


def test_a_keyed_request_without_its_key_is_unsafe() -> None:
    made = table({"/a": {"post": operation(x={"effect": "keyed", "class": "c", "deadline": 4})}})
    keyed, bare = decide(made, "POST /a", idempotency_key="k1"), decide(made, "POST /a")
    assert keyed.effect is cls(made, keyed).effect is Effect.KEYED and cls(made, keyed).memory == 6.0
    assert bare.effect is cls(made, bare).effect is Effect.UNSAFE and cls(made, bare).memory == 0.0
    assert (cls(made, bare).name, cls(made, bare).deadline) == ("c", 4.0)
    assert decide(made, "POST /a", idempotency_key="").effect is Effect.UNSAFE


def test_a_key_that_could_be_read_two_ways_is_refused() -> None:
    made = table({"/a": {"post": operation(x={"effect": "keyed"})}})
    for value in ("a b", "x" * 300, "caf\u00e9"):
        with pytest.raises(BadParameter):
            decide(made, "POST /a", idempotency_key=value)
    with pytest.raises(BadParameter, match="twice"):
        made.decide("POST", b"/a", [(b"idempotency-key", b"a"), (b"idempotency-key", b"b")])


def test_a_key_in_the_query() -> None:
    parameter = {"name": "token", "in": "query", "schema": {"type": "string"}}
    terms = {"effect": "keyed", "key": "query.token"}
    made = table({"/a": {"post": operation(parameters=[parameter], x=terms)}})
    assert decide(made, "POST /a?token=t").effect is Effect.KEYED
    assert decide(made, "POST /a?t%6Fken=t").effect is Effect.KEYED
    assert decide(made, "POST /a", idempotency_key="k").effect is Effect.UNSAFE
    with pytest.raises(BadParameter):
        decide(made, "POST /a?token=t&t%6Fken=u")


# --- costs -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("query", "units"),
    [("", 1), ("?limit=1", 1), ("?limit=100", 1), ("?limit=101", 2), ("?limit=499.5", 5), ("?limit=99999", 5),
     ("?limit=0", 1), ("?l%69mit=300", 3), ("?x=1&limit=200", 2)],
)  # fmt: skip
def test_cost_from_a_parameter_within_its_bound(query: str, units: float) -> None:
    made = table({"/a": {"get": operation(parameters=[LIMIT], x={"cost": BY_LIMIT})}})
    assert decide(made, f"GET /a{query}").units == units


@pytest.mark.parametrize(
    "query",
    ["limit=-1", "limit=x", "limit=", "limit=nan", "limit=1e9", "limit=1&limit=2", "limit=1&l%69mit=400",
     "limit=%D9%A1"],
)  # fmt: skip
def test_a_cost_that_could_be_read_two_ways_is_refused(query: str) -> None:
    made = table({"/a": {"get": operation(parameters=[LIMIT], x={"cost": BY_LIMIT})}})
    with pytest.raises(BadParameter):
        decide(made, f"GET /a?{query}")


def test_cost_from_a_path_and_from_a_header() -> None:
    header = {"name": "X-Pages", "in": "header", "schema": {"type": "integer"}}
    made = table(
        {
            "/a/{n}-pages": {"get": operation(x={"cost": {"from": "path.n", "per": 10, "most": 50}})},
            "/b": {"get": operation(parameters=[header], x={"cost": {"from": "header.X-Pages", "most": 9}})},
        }
    )
    assert decide(made, "GET /a/25-pages").units == 3
    assert decide(made, "GET /b", x_pages="4").units == 4
    with pytest.raises(BadParameter):
        decide(made, "GET /a/many-pages")


@given(st.floats(0, 1e9), st.floats(0.001, 1e6), st.floats(1, 1e6))
def test_a_cost_never_leaves_its_bounds(value: float, per: float, most: float) -> None:
    from ivymux.routes.description import scaled
    from ivymux.routes.model import Cost

    assert 1.0 <= scaled(Cost(1, "query", "x", per, most), value) <= most


# --- overrides ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["x-http-method-override", "x-http-method", "x-method-override"])
def test_a_header_that_overrides_the_method_is_refused(name: str) -> None:
    made = table({"/a": {"get": operation(), "post": operation()}})
    for method in ("GET", "POST"):
        with pytest.raises(BadParameter):
            made.decide(method, b"/a", [(name.encode(), b"DELETE")])


@pytest.mark.parametrize(
    "query",
    ["_method=DELETE", "a=1&_method=DELETE", "_METHOD=delete", "%5Fmethod=x", "_m%65thod=x", "_method",
     "a;_method=x", "X-HTTP-Method-Override=PUT", "x_http_method_override=PUT", "_method[]=x",
     "+_method=x", "_method%20=x"],
)  # fmt: skip
def test_a_query_that_overrides_the_method_is_refused(query: str) -> None:
    made = table({"/a": {"get": operation()}})
    with pytest.raises(BadParameter):
        decide(made, f"GET /a?{query}")


def test_queries_that_only_look_like_it_pass() -> None:
    made = table({"/a": {"get": operation()}})
    for query in ("method=x", "payment_method=card", "q=_method%3DDELETE", "a=%5Fmethod"):
        assert decide(made, f"GET /a?{query}").target.query == query.encode()


def test_an_unsafe_operation_may_have_an_override_of_its_own() -> None:
    parameter = {"name": "_method", "in": "query", "schema": {"type": "string"}}
    made = table({"/a": {"post": operation(parameters=[parameter])}})
    assert decide(made, "POST /a?_method=DELETE").effect is Effect.UNSAFE


# --- classes that change -----------------------------------------------------------------------------


def test_a_number_stays_with_its_class_while_a_request_holds_it() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    before = table({"/a": {"get": operation(x={"effect": "unsafe"})}}, classes)
    held = decide(before, "GET /a").cls
    classes.hold(held)
    unsafe = classes.listed[held]
    after = table({"/a": {"get": operation(x={"effect": "safe"})}}, classes)
    assert decide(after, "GET /a").cls != held and classes.listed[held] is unsafe
    third = table({"/a": {"get": operation(x={"class": "third"})}}, classes)
    assert classes.listed[held] is unsafe
    classes.release(held)
    numbers = {decide(third, "GET /a").cls}
    for n in range(50):
        numbers.add(decide(table({"/a": {"get": operation(x={"class": f"c{n}"})}}, classes), "GET /a").cls)
    assert len(classes.listed) <= 3  # free ones are used again: the list does not grow with changes


def test_a_class_that_comes_back_has_its_number_again_or_another_but_its_own_terms() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    for n in range(20):
        effect = "unsafe" if n % 2 else "safe"
        made = table({"/a": {"get": operation(x={"effect": effect})}}, classes)
        assert classes.listed[decide(made, "GET /a").cls].effect.value == effect


def test_too_many_classes_change_nothing() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    table({"/a": {"get": operation()}}, classes)
    before = (list(classes.listed), dict(classes.numbers), set(classes.current))
    many = {classes.make(f"c{n}", Effect.SAFE, 1.0, 2.0, 1.0) for n in range(MAX_CLASSES + 1)}
    with pytest.raises(TooManyClasses):
        classes.put(many)
    assert (classes.listed, classes.numbers, classes.current) == before


@given(st.lists(st.tuples(st.sets(st.integers(0, 6), max_size=4), st.lists(st.integers(0, 6), max_size=5))))
def test_numbers_never_change_under_open_requests(steps: list[tuple[set[int], list[int]]]) -> None:
    classes = ClassTable(0.0, Scope.ALL)
    held: list[tuple[int, RequestClass]] = []
    for names, picks in steps:
        wanted = {classes.make(f"c{n}", Effect.SAFE, 1.0, 2.0, 1.0) for n in names}
        numbers = classes.put(wanted)
        assert all(classes.listed[number] == c for c, number in numbers.items())
        assert len(set(numbers.values())) == len(numbers)
        for pick in picks:
            if held and pick % 2:
                classes.release(held.pop(pick % len(held))[0])
            elif numbers:
                c = sorted(numbers, key=lambda c: c.name)[pick % len(numbers)]
                classes.hold(numbers[c])
                held.append((numbers[c], c))
        assert all(classes.listed[number] == c for number, c in held)


# --- what changed ------------------------------------------------------------------------------------


def test_changes_are_told_by_what_they_may_do() -> None:
    old = compiled(described({"/a": {"get": operation(), "post": operation()}, "/b": {"get": operation()}}))
    item = {"get": operation(x={"effect": "unsafe"}), "post": operation(x={"effect": "keyed"})}
    new = compiled(described({"/a": item, "/c": {"get": operation()}}))
    changes = compare(old, new)
    assert (changes.added, changes.removed) == (("GET /c",), ("GET /b",))
    assert (changes.loosened, changes.tightened) == (("POST /a",), ("GET /a",))
    assert "may now be repeated (POST /a)" in str(changes)
    assert not compare(old, old) and str(compare(old, old)) == "no change"


def test_no_route() -> None:
    with pytest.raises(NoRoute):
        decide(table({"/a": {"get": operation()}}), "GET /b")
