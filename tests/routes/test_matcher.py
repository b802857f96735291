"""Route matching: literal segments before parameters, longer literals before shorter ones."""

from __future__ import annotations

import random
import re
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.routes.matcher import Clash, NoRoute, Router
from ivymux.routes.model import Cost, Operation
from ivymux.routes.template import TemplateError, parse_template
from orchidhill.interface import Effect

from .test_target import percent_encode


def make_operation(path: str, method: str = "GET", effect: Effect = Effect.SAFE) -> Operation:
    return Operation(f"{method} {path}", method, path, "c", effect, Cost(), 1.0, 2.0, 1.0)


def make_router(*paths: str) -> Router:
    """Build a router from paths, each optionally after a method; the default is GET."""
    return Router.from_operations(
        make_operation(p.split()[-1], p.split()[0] if " " in p else "GET") for p in paths
    )


def matched_path(router: Router, target: str, method: str = "GET") -> str:
    return router.match(method, target.encode())[0].operation.path


def error_status(router: Router, target: str, method: str = "GET") -> int:
    with pytest.raises(NoRoute) as caught:
        router.match(method, target.encode())
    return caught.value.status


@pytest.mark.parametrize("order", [1, -1])
def test_the_more_literal_template_wins_whatever_the_order_in_the_file(order: int) -> None:
    paths = ["/a/{x}", "/a/b", "/a/{x}/c", "/a/b/{y}", "/{z}/b/c", "/a/{x}.json", "/a/v{x}.json", "/a/v{x}"][
        ::order
    ]
    router = make_router(*paths)
    expected = {
        "/a/b": "/a/b", "/a/q": "/a/{x}", "/a/b/c": "/a/b/{y}", "/a/q/c": "/a/{x}/c", "/q/b/c": "/{z}/b/c",
        "/a/q.json": "/a/{x}.json", "/a/v1.json": "/a/v{x}.json", "/a/v1": "/a/v{x}", "/a/.json": "/a/{x}",
    }  # fmt: skip
    assert {target: matched_path(router, target) for target in expected} == expected


def test_matching_backtracks_from_a_literal_branch_without_a_match() -> None:
    router = make_router("/a/b/c", "/{x}/b/d", "/a/{y}/e")
    assert matched_path(router, "/a/b/d") == "/{x}/b/d" and matched_path(router, "/a/b/e") == "/a/{y}/e"
    assert error_status(router, "/a/b/f") == 404


def test_partly_literal_segments_win_over_a_parameter_of_the_whole_segment() -> None:
    router = make_router("/r/{base}...{head}", "/r/{basehead}")
    assert matched_path(router, "/r/main...topic") == "/r/{base}...{head}"
    for other in ("/r/main", "/r/...topic", "/r/main...", "/r/main..topic"):
        assert matched_path(router, other) == "/r/{basehead}"
    route, target = router.match("GET", b"/r/a...b...c")
    assert (route.parameter("base", target.segments), route.parameter("head", target.segments)) == (
        "a",
        "b...c",
    )


def test_methods_the_allow_header_and_head() -> None:
    router = make_router("GET /a", "POST /a", "DELETE /b")
    assert router.match("HEAD", b"/a")[0].operation.method == "GET"
    with pytest.raises(NoRoute) as caught:
        router.match("PUT", b"/a")
    assert (caught.value.status, caught.value.allow) == (405, ("GET", "HEAD", "OPTIONS", "POST"))
    assert error_status(router, "/b", "HEAD") == 405 and error_status(router, "/b", "GET") == 405
    # A literal path takes precedence even for methods that only the template has.
    both = make_router("GET /u/me", "DELETE /u/{id}", "GET /u/{id}")
    assert error_status(both, "/u/me", "DELETE") == 405 and matched_path(both, "/u/7", "DELETE") == "/u/{id}"


@pytest.mark.parametrize(
    "target",
    ["/pets/Mine", "/PETS/mine", "/pets/MINE", "/Pets/7", "/pets/mine/", "/pets", "/pets/", "/pets/7/"],
)
def test_case_and_a_trailing_slash_reach_no_other_operation(target: str) -> None:
    router = make_router("/pets/mine", "/pets/{id}", "/{any}/{id}")
    assert error_status(router, target) == 404


def test_a_described_trailing_slash_is_a_path_of_its_own() -> None:
    router = make_router("/a", "/a/{x}/", "/a/{x}")
    assert matched_path(router, "/a/1/") == "/a/{x}/" and matched_path(router, "/a/1") == "/a/{x}"


def test_operations_whose_templates_differ_only_in_parameter_names_conflict() -> None:
    with pytest.raises(Clash):
        make_router("/a/{x}", "/a/{y}")
    with pytest.raises(Clash):
        make_router("/a/{x}...{y}", "/a/{v}...{w}")
    assert make_router("GET /a/{x}", "POST /a/{y}").size == 2


@pytest.mark.parametrize(
    "path",
    ["a", "/a//b", "/a/../b", "/./a", "/{", "/{}", "/a}", "/{a}{b}", "/{x}/{x}", "/a;b", "/a?b", "/a%2Fb",
     "/{a{b}}", "/" + "x/" * 70, "/%ff", "/" + "-".join(f"{{p{n}}}" for n in range(9))],
)  # fmt: skip
def test_templates_that_no_target_could_match_are_refused(path: str) -> None:
    with pytest.raises(TemplateError):
        parse_template(path)


def test_a_hostile_segment_takes_linear_time() -> None:
    router = make_router("/{a}-{b}-{c}-{d}-{e}-{f}-{g}x")
    assert error_status(router, "/" + "-" * 8000) == 404  # backtracking would take practically for ever


def reference_match(operations: list[Operation], segments: list[str]) -> list[str]:
    """Reference implementation: all paths that match, the most literal one from the left first."""

    def rank(path: str) -> list[Any]:
        ranks: list[Any] = []
        for segment in parse_template(path):
            literal = sum(map(len, segment.literals))
            kind = 0 if not segment.names else 2 if segment.is_parameter else 1
            ranks.append((kind, -literal, -len(segment.literals[0]), segment.literals))
        return ranks

    matching = []
    for operation in operations:
        parts = [re.split(r"\{[^}]*\}", p) for p in operation.path[1:].split("/")]
        if len(parts) == len(segments) and all(
            re.fullmatch("(.+)".join(map(re.escape, part)), segment, re.S)
            for part, segment in zip(parts, segments, strict=True)
        ):
            matching.append(operation.path)
    return sorted(matching, key=rank)


TEMPLATE = st.lists(
    st.sampled_from(["a", "b", "{}", "{}.x", "a{}", "{}-{}", "a{}x", "{}", "b"]), min_size=1, max_size=4
)


@given(st.lists(TEMPLATE, min_size=1, max_size=12), st.lists(st.sampled_from(
    ["a", "b", "c", "c.x", "ab", "a-b", "abx", "a.x", "-", "a-b.x"]), min_size=1, max_size=4))  # fmt: skip
def test_the_tree_agrees_with_the_reference_implementation(
    templates: list[list[str]], segments: list[str]
) -> None:
    router, operations = Router(), []
    for template in templates:
        names = iter("pqrstuvwxyz")
        path = "/" + "/".join(re.sub(r"\{\}", lambda _, n=names: f"{{{next(n)}}}", t) for t in template)  # type: ignore[misc]
        try:
            router.add(make_operation(path))
        except Clash:
            continue
        operations.append(make_operation(path))
    expected = reference_match(operations, segments)
    target = "/" + "/".join(segments)
    if expected:
        assert matched_path(router, target) == expected[0]
    else:
        assert error_status(router, target) == 404


LITERALS = st.sampled_from(["mine", "Publish", "caf\u00e9", "a b", "x+y", "100", "it's"])
DECLARED = st.tuples(LITERALS, st.sampled_from(list(Effect)))


@given(
    st.lists(DECLARED, min_size=1, max_size=5, unique_by=lambda entry: entry[0]),
    st.one_of(LITERALS, st.text(min_size=1, max_size=5)),
    st.lists(st.integers(0, 2), min_size=1, max_size=7),
    st.booleans(),
)  # fmt: skip
def test_all_encodings_of_a_target_reach_the_same_operation(
    literals: list[tuple[str, Effect]], text: str, choices: list[int], upper: bool
) -> None:
    router = Router.from_operations(
        [make_operation(f"/p/{'%20'.join(name.split())}", effect=effect) for name, effect in literals]
        + [make_operation("/p/{id}", effect=Effect.SAFE)]
    )
    text = text.upper() if upper else text
    outcomes: set[str | None] = set()
    for spelling in (percent_encode(text, [0]), percent_encode(text, choices), percent_encode(text, [1])):
        try:
            route, target = router.match("GET", f"/p/{spelling}".encode())
        except NoRoute:
            outcomes.add(None)
            continue
        outcomes.add(route.operation.id)
        repeated, normalized = router.match("GET", target.path)
        assert (repeated.operation, normalized.path) == (route.operation, target.path)
        # A backend that ignores case must not run another operation.
        same_ignoring_case = [n for n, _ in literals if n.casefold() == target.segments[1].casefold()]
        assert not same_ignoring_case or route.operation.path != "/p/{id}"
    assert len(outcomes) == 1


def test_adding_operations_yields_regularly() -> None:
    router = Router()
    rng = random.Random(1)
    operations = [make_operation(f"/a{n}/{{x}}/b{rng.randrange(9)}") for n in range(1000)]
    assert len(list(router.add_all(operations))) == 1000 // 32 and router.size == 1000
