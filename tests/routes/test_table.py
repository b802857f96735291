"""The route table: class, key and cost of requests, method overrides, and class numbers."""

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


def make_table(paths: dict[str, Any], classes: ClassTable | None = None) -> Table:
    routes = Table(compiled(described(paths)), classes or ClassTable(6.0, Scope.CELL))
    assert len(list(routes.build())) < 9
    routes.assign_class_numbers()
    return routes


def decide(routes: Table, line: str, **headers: str) -> Decision:
    method, target = line.split()
    fields = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return routes.decide(method, target.encode(), fields)


def class_of(routes: Table, decision: Decision) -> RequestClass:
    return routes.classes.class_list[decision.cls]


# --- keys --------------------------------------------------------------------------------------------


def test_a_keyed_request_without_its_key_is_unsafe() -> None:
    routes = make_table({"/a": {"post": operation(x={"effect": "keyed", "class": "c", "deadline": 4})}})
    keyed, keyless = decide(routes, "POST /a", idempotency_key="k1"), decide(routes, "POST /a")
    assert (
        keyed.effect is class_of(routes, keyed).effect is Effect.KEYED
        and class_of(routes, keyed).memory == 6.0
    )
    assert (
        keyless.effect is class_of(routes, keyless).effect is Effect.UNSAFE
        and class_of(routes, keyless).memory == 0.0
    )
    assert (class_of(routes, keyless).name, class_of(routes, keyless).deadline) == ("c", 4.0)
    assert decide(routes, "POST /a", idempotency_key="").effect is Effect.UNSAFE


def test_an_ambiguous_key_is_refused() -> None:
    routes = make_table({"/a": {"post": operation(x={"effect": "keyed"})}})
    for value in ("a b", "x" * 300, "caf\u00e9"):
        with pytest.raises(BadParameter):
            decide(routes, "POST /a", idempotency_key=value)
    with pytest.raises(BadParameter, match="twice"):
        routes.decide("POST", b"/a", [(b"idempotency-key", b"a"), (b"idempotency-key", b"b")])


def test_a_key_in_the_query() -> None:
    parameter = {"name": "token", "in": "query", "schema": {"type": "string"}}
    terms = {"effect": "keyed", "key": "query.token"}
    routes = make_table({"/a": {"post": operation(parameters=[parameter], x=terms)}})
    assert decide(routes, "POST /a?token=t").effect is Effect.KEYED
    assert decide(routes, "POST /a?t%6Fken=t").effect is Effect.KEYED
    assert decide(routes, "POST /a", idempotency_key="k").effect is Effect.UNSAFE
    with pytest.raises(BadParameter):
        decide(routes, "POST /a?token=t&t%6Fken=u")


# --- costs -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("query", "units"),
    [("", 1), ("?limit=1", 1), ("?limit=100", 1), ("?limit=101", 2), ("?limit=499.5", 5), ("?limit=99999", 5),
     ("?limit=0", 1), ("?l%69mit=300", 3), ("?x=1&limit=200", 2)],
)  # fmt: skip
def test_a_cost_from_a_parameter_is_limited(query: str, units: float) -> None:
    routes = make_table({"/a": {"get": operation(parameters=[LIMIT], x={"cost": BY_LIMIT})}})
    assert decide(routes, f"GET /a{query}").units == units


@pytest.mark.parametrize(
    "query",
    ["limit=-1", "limit=x", "limit=", "limit=nan", "limit=1e9", "limit=1&limit=2", "limit=1&l%69mit=400",
     "limit=%D9%A1"],
)  # fmt: skip
def test_an_ambiguous_cost_is_refused(query: str) -> None:
    routes = make_table({"/a": {"get": operation(parameters=[LIMIT], x={"cost": BY_LIMIT})}})
    with pytest.raises(BadParameter):
        decide(routes, f"GET /a?{query}")


def test_a_cost_from_a_path_and_from_a_header() -> None:
    header = {"name": "X-Pages", "in": "header", "schema": {"type": "integer"}}
    routes = make_table(
        {
            "/a/{n}-pages": {"get": operation(x={"cost": {"from": "path.n", "per": 10, "most": 50}})},
            "/b": {"get": operation(parameters=[header], x={"cost": {"from": "header.X-Pages", "most": 9}})},
        }
    )
    assert decide(routes, "GET /a/25-pages").units == 3
    assert decide(routes, "GET /b", x_pages="4").units == 4
    with pytest.raises(BadParameter):
        decide(routes, "GET /a/many-pages")


@given(st.floats(0, 1e9), st.floats(0.001, 1e6), st.floats(1, 1e6))
def test_a_cost_never_leaves_its_bounds(value: float, per: float, most: float) -> None:
    from ivymux.routes.description import cost_units
    from ivymux.routes.model import Cost

    assert 1.0 <= cost_units(Cost(1, "query", "x", per, most), value) <= most


# --- method overrides --------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["x-http-method-override", "x-http-method", "x-method-override"])
def test_a_header_that_overrides_the_method_is_refused(name: str) -> None:
    routes = make_table({"/a": {"get": operation(), "post": operation()}})
    for method in ("GET", "POST"):
        with pytest.raises(BadParameter):
            routes.decide(method, b"/a", [(name.encode(), b"DELETE")])


@pytest.mark.parametrize(
    "query",
    ["_method=DELETE", "a=1&_method=DELETE", "_METHOD=delete", "%5Fmethod=x", "_m%65thod=x", "_method",
     "a;_method=x", "X-HTTP-Method-Override=PUT", "x_http_method_override=PUT", "_method[]=x",
     "+_method=x", "_method%20=x"],
)  # fmt: skip
def test_a_query_that_overrides_the_method_is_refused(query: str) -> None:
    routes = make_table({"/a": {"get": operation()}})
    with pytest.raises(BadParameter):
        decide(routes, f"GET /a?{query}")


def test_queries_that_only_resemble_an_override_are_accepted() -> None:
    routes = make_table({"/a": {"get": operation()}})
    for query in ("method=x", "payment_method=card", "q=_method%3DDELETE", "a=%5Fmethod"):
        assert decide(routes, f"GET /a?{query}").target.query == query.encode()


def test_an_unsafe_operation_may_declare_an_override_parameter() -> None:
    parameter = {"name": "_method", "in": "query", "schema": {"type": "string"}}
    routes = make_table({"/a": {"post": operation(parameters=[parameter])}})
    assert decide(routes, "POST /a?_method=DELETE").effect is Effect.UNSAFE


# --- class numbers -----------------------------------------------------------------------------------


def test_a_class_keeps_its_number_while_a_request_is_open() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    old_table = make_table({"/a": {"get": operation(x={"effect": "unsafe"})}}, classes)
    open_number = decide(old_table, "GET /a").cls
    classes.hold(open_number)
    unsafe = classes.class_list[open_number]
    new_table = make_table({"/a": {"get": operation(x={"effect": "safe"})}}, classes)
    assert decide(new_table, "GET /a").cls != open_number and classes.class_list[open_number] is unsafe
    third_table = make_table({"/a": {"get": operation(x={"class": "third"})}}, classes)
    assert classes.class_list[open_number] is unsafe
    classes.release(open_number)
    numbers = {decide(third_table, "GET /a").cls}
    for n in range(50):
        numbers.add(
            decide(make_table({"/a": {"get": operation(x={"class": f"c{n}"})}}, classes), "GET /a").cls
        )
    assert len(classes.class_list) <= 3  # free numbers are reused: the list does not grow with changes


def test_a_class_that_returns_gets_a_number_with_its_own_settings() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    for n in range(20):
        effect = "unsafe" if n % 2 else "safe"
        routes = make_table({"/a": {"get": operation(x={"effect": effect})}}, classes)
        assert classes.class_list[decide(routes, "GET /a").cls].effect.value == effect


def test_too_many_classes_change_nothing() -> None:
    classes = ClassTable(6.0, Scope.CELL)
    make_table({"/a": {"get": operation()}}, classes)
    before = (list(classes.class_list), dict(classes.numbers), set(classes.current_numbers))
    many = {classes.request_class(f"c{n}", Effect.SAFE, 1.0, 2.0, 1.0) for n in range(MAX_CLASSES + 1)}
    with pytest.raises(TooManyClasses):
        classes.replace_current(many)
    assert (classes.class_list, classes.numbers, classes.current_numbers) == before


@given(st.lists(st.tuples(st.sets(st.integers(0, 6), max_size=4), st.lists(st.integers(0, 6), max_size=5))))
def test_numbers_do_not_change_while_requests_are_open(steps: list[tuple[set[int], list[int]]]) -> None:
    classes = ClassTable(0.0, Scope.ALL)
    open_numbers: list[tuple[int, RequestClass]] = []
    for names, picks in steps:
        wanted = {classes.request_class(f"c{n}", Effect.SAFE, 1.0, 2.0, 1.0) for n in names}
        numbers = classes.replace_current(wanted)
        assert all(classes.class_list[number] == c for c, number in numbers.items())
        assert len(set(numbers.values())) == len(numbers)
        for pick in picks:
            if open_numbers and pick % 2:
                classes.release(open_numbers.pop(pick % len(open_numbers))[0])
            elif numbers:
                c = sorted(numbers, key=lambda c: c.name)[pick % len(numbers)]
                classes.hold(numbers[c])
                open_numbers.append((numbers[c], c))
        assert all(classes.class_list[number] == c for number, c in open_numbers)


# --- comparison --------------------------------------------------------------------------------------


def test_changes_are_grouped_by_their_effect_on_retries() -> None:
    old = compiled(described({"/a": {"get": operation(), "post": operation()}, "/b": {"get": operation()}}))
    item = {"get": operation(x={"effect": "unsafe"}), "post": operation(x={"effect": "keyed"})}
    new = compiled(described({"/a": item, "/c": {"get": operation()}}))
    changes = compare(old, new)
    assert (changes.added, changes.removed) == (("GET /c",), ("GET /b",))
    assert (changes.loosened, changes.tightened) == (("POST /a",), ("GET /a",))
    assert "may now be retried (POST /a)" in str(changes)
    assert not compare(old, old) and str(compare(old, old)) == "no change"


def test_a_path_that_is_not_described_has_no_route() -> None:
    with pytest.raises(NoRoute):
        decide(make_table({"/a": {"get": operation()}}), "GET /b")
