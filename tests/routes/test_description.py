"""Descriptions become operations, whole or not at all; a write that says nothing is unsafe."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from ivymux.routes.model import MAX_FINDINGS, ClassTerms, Cost, Options
from ivymux.routes.refs import MAX_FILES
from orchidhill.interface import Effect
from tests.test_text import bomb

from .describing import compiled, described, effects, errors, operation

PAIR = {"name": "x", "in": "path", "required": True, "schema": {"type": "string"}}
UNSAFE = operation(x={"effect": "unsafe"})


# --- effects -----------------------------------------------------------------------------------------


def test_a_write_that_states_no_effect_is_unsafe_and_a_read_is_safe() -> None:
    methods = ("get", "head", "options", "trace", "post", "put", "delete", "patch")
    made = effects(described({"/a": {m: operation() for m in methods}}))
    assert made == {
        "GET /a": "safe", "HEAD /a": "safe", "OPTIONS /a": "safe", "TRACE /a": "safe",
        "POST /a": "unsafe", "PUT /a": "unsafe", "DELETE /a": "unsafe", "PATCH /a": "unsafe",
    }  # fmt: skip


def test_a_class_alone_does_not_make_a_write_safe() -> None:
    assert effects(described({"/a": {"post": operation(x={"class": "read-minutes"})}})) == {
        "POST /a": "unsafe"
    }


def test_what_is_declared_counts_whatever_the_method() -> None:
    document = described(
        {
            "/a": {
                "get": operation(x={"effect": "unsafe"}),
                "put": operation(x={"effect": "keyed"}),
                "post": operation(x={"effect": "safe"}),
            }
        }
    )
    assert effects(document) == {"GET /a": "unsafe", "PUT /a": "keyed", "POST /a": "safe"}


def test_the_nearest_statement_wins_field_by_field() -> None:
    document = described(
        {
            "/a": {
                "x-ivymux": {"class": "path", "aim": 2},
                "get": operation(x={"deadline": 7}),
                "put": operation(x={"effect": "unsafe", "class": "own"}),
            },
            "/b": {"post": operation()},
        },
        x={"class": "root", "effect": "keyed", "worth": 4, "cost": 2},
    )
    get, put, post = compiled(document).operations
    assert (get.cls, get.effect, get.aim, get.deadline, get.worth) == ("path", Effect.KEYED, 2, 7, 4)
    assert (put.cls, put.effect, put.aim) == ("own", Effect.UNSAFE, 2)
    assert (post.cls, post.effect, post.cost) == ("root", Effect.KEYED, Cost(2))


def test_safe_from_above_does_not_reach_a_write_that_is_added_later() -> None:
    document = described({"/a": {"get": operation(), "post": operation()}}, x={"effect": "safe"})
    assert effects(document) == {"GET /a": "safe", "POST /a": "unsafe"}
    document = described({"/a": {"x-ivymux": {"effect": "safe"}, "delete": operation()}})
    assert effects(document) == {"DELETE /a": "unsafe"}
    assert any("does not count for DELETE" in f.text for f in compiled(document).findings)


@pytest.mark.parametrize(
    ("raw", "told"),
    [
        ({"efect": "safe"}, "/efect: error: no such field"),
        ({"effect": "Safe"}, "/effect"),
        ({"effect": ["safe"]}, "/effect"),
        ({"class": "a b"}, "/class"),
        ({"cost": 0}, "/cost"),
        ({"cost": True}, "/cost"),
        ({"cost": -1}, "/cost"),
        ({"cost": {"from": "query.limit"}}, "/cost/most"),
        ({"cost": {"from": "body.limit", "most": 5}}, "/cost/from"),
        ({"cost": {"from": "query.limit", "most": 5, "pre": 1}}, "/cost/pre"),
        ({"cost": {"from": "query.limit", "most": 5}}, "is no parameter here"),
        ({"aim": 0}, "/aim"),
        ({"deadline": 1e9}, "/deadline"),
        ({"key": "body.x"}, "/key"),
        ({"key": 5}, "/key"),
        ("safe", "not an object"),
    ],
)
def test_a_mistake_in_the_extension_is_an_error_with_its_place(raw: Any, told: str) -> None:
    assert told in errors(described({"/a": {"get": operation(x=raw)}}))


def test_a_site_gives_classes_their_times() -> None:
    options = Options(aim=1, deadline=3, classes={"c": ClassTerms(deadline=9, worth=2)})
    document = described(
        {"/a": {"get": operation(x={"class": "c"})}, "/c": {"get": operation()},
         "/b": {"get": operation(x={"class": "c", "deadline": 0.5})}}
    )  # fmt: skip
    a, c, b = compiled(document, options).operations
    assert (a.aim, a.deadline, a.worth) == (1, 9, 2)
    assert (b.aim, b.deadline) == (0.5, 0.5)  # what comes after the deadline is wanted by nobody
    assert (c.aim, c.deadline, c.worth) == (1, 3, 1)


def test_a_cost_takes_the_default_of_its_parameter() -> None:
    parameter = {"name": "limit", "in": "query", "schema": {"type": "integer", "default": 250}}
    cost = {"from": "query.limit", "per": 100, "most": 5}
    document = described({"/a": {"get": operation(parameters=[parameter], x={"cost": cost})}})
    assert compiled(document).operations[0].cost == Cost(3, "query", "limit", 100, 5)


# --- the document ------------------------------------------------------------------------------------


@pytest.mark.parametrize("version", ["3.0.0", "3.0.4", "3.1.0", "3.1.1"])
def test_versions(version: str) -> None:
    assert len(compiled(described({"/a": {"get": operation()}}, version)).operations) == 1


@pytest.mark.parametrize(
    ("document", "told"),
    [
        ({"swagger": "2.0", "info": {}, "paths": {}}, "swagger 2.0 is not read"),
        (described({"/a": {"get": operation()}}, "4.0.0"), "not OpenAPI 3.0 or 3.1"),
        (["x"], "does not hold an object"),
        (described({}), "no operation"),
        (described({"/a": {"get": {}}}), "/paths/~1a/get"),
        (described({"a": {"get": operation()}}), "error"),
        (described({"/a": {"gett": operation()}}), "/paths/~1a"),
        (described({"/a//b": {"get": operation()}}), "empty segment (doubled slash)"),
        (described({"/{x}/{x}": {"get": operation()}}), "non-unique"),
        (described({"/a": {m: operation(operationId="o") for m in ("get", "put")}}), "operationId 'o'"),
        (described({"/{x}": {"get": operation()}, "/{y}": {"get": operation()}}), "would have two"),
        (described({"/a/b": {"get": operation()}, "/a/B": {"get": UNSAFE}}), "only in case"),
        (described({"/a": {"get": operation()}, "/a/": {"get": UNSAFE}}), "closing slash"),
        (described({"/{x}": {"parameters": [PAIR | {"style": "matrix"}], "get": UNSAFE}}), "style 'matrix'"),
        (described({"/a": {"get": operation(parameters=[{"name": "_method", "in": "query", "schema": {}}])}}),
         "could make another method"),
    ],
)  # fmt: skip
def test_a_description_that_cannot_be_served_is_refused_with_its_place(document: Any, told: str) -> None:
    assert told in errors(document)


def test_templates_that_differ_in_names_are_merged_where_their_methods_differ() -> None:
    document = described({"/a/{x}": {"get": operation()}, "/a/{y}": {"post": operation()}})
    made = compiled(document)
    assert len(made.operations) == 2
    assert [f.level for f in made.findings if "only in names" in f.text] == ["warning"]


def test_a_concrete_path_that_goes_before_a_template_of_another_effect_is_told() -> None:
    document = described(
        {"/a/new": {"get": operation(x={"effect": "unsafe"})}, "/a/{id}": {"get": operation()}}
    )
    assert any("goes before /a/{id}" in f.text and f.level == "warning" for f in compiled(document).findings)


def test_base_paths_of_servers_at_three_levels() -> None:
    document = described(
        {
            "/a": {"get": operation(), "post": operation(servers=[{"url": "/own"}])},
            "/b": {"servers": [{"url": "https://x/path/"}], "get": operation()},
        },
        servers=[
            {"url": "https://h.example/v1"},
            {"url": "/{v}", "variables": {"v": {"default": "p", "enum": ["p", "q"]}}},
        ],
    )
    assert [f"{o.method} {o.path}" for o in compiled(document).operations] == [
        "GET /v1/a", "GET /p/a", "GET /q/a", "POST /own/a", "GET /path/b",
    ]  # fmt: skip
    told = compiled(document, Options(base="/mine/")).operations
    assert {o.path for o in told} == {"/mine/a", "/mine/b"}


def test_a_server_whose_variables_multiply_is_refused_quickly() -> None:
    names = [f"v{n}" for n in range(40)]
    variables = {n: {"default": "a", "enum": [f"{n}{k}" for k in range(50)]} for n in names}
    server = {"url": "/" + "/".join(f"{{{n}}}" for n in names), "variables": variables}
    assert "base paths" in errors(described({"/a": {"get": operation()}}, servers=[server]))


# --- references --------------------------------------------------------------------------------------


def test_references_within_the_file_and_to_files_beside_it() -> None:
    limit = {"name": "limit", "in": "query", "schema": {"type": "integer", "default": 10}}
    item = {"get": operation(operationId="there", parameters=[{"$ref": "more.json#/limit"}],
                             x={"cost": {"from": "query.limit", "per": 5, "most": 9}})}  # fmt: skip
    document = described({"/a": {"$ref": "paths.json#/items/~1a"}, "/b": {"get": operation(
        parameters=[{"$ref": "#/components/parameters/p"}])}},
        components={"parameters": {"p": {"$ref": "more.json#/limit"}}})  # fmt: skip
    made = compiled(document, paths__json={"items": {"/a": item}}, more__json={"limit": limit})
    assert [(o.id, o.cost.amount) for o in made.operations] == [("there", 2), ("GET /b", 1)]
    assert set(made.files) == {"api.json", "paths.json", "more.json"}


@pytest.mark.parametrize(
    ("ref", "told"),
    [
        ("https://x.example/a.json#/p", "nothing is fetched"),
        ("//x/a.json", "nothing is fetched"),
        ("file:///etc/passwd", "nothing is fetched"),
        ("../secret.json#/p", "out of the description's folder"),
        ("a/../../secret.json", "out of the description's folder"),
        ("%2e%2e/secret.json", "out of the description's folder"),
        ("/etc/passwd", "out of the description's folder"),
        ("gone.json#/p", "cannot read gone.json"),
        ("#/components/nothing", "leads nowhere"),
        ("#anchor", "not a JSON pointer"),
        ("bad.json", "bad.json"),
    ],
)
def test_references_that_are_refused(ref: str, told: str) -> None:
    document = described({"/a": {"get": operation(parameters=[{"$ref": ref}])}})
    assert told in errors(document, bad__json=b'{"cut')
    # Also one that no route needs, deep in a schema: the file is not what its writer meant.
    schema = {"type": "object", "properties": {"p": {"$ref": ref}}}
    document = described({"/a": {"get": operation()}}, components={"schemas": {"S": schema}})
    assert told in errors(document, bad__json=b'{"cut')


def test_what_looks_like_a_reference_in_an_example_is_data() -> None:
    schema = {"type": "object", "example": {"$ref": "https://x"}, "properties": {"$ref": {"type": "string"}}}
    assert compiled(described({"/a": {"get": operation()}}, components={"schemas": {"S": schema}})).operations


def test_circular_references_end() -> None:
    parameters = {"p": {"$ref": "#/components/parameters/q"}, "q": {"$ref": "#/components/parameters/p"}}
    document = described(
        {"/a": {"get": operation(parameters=[{"$ref": "#/components/parameters/p"}])}},
        components={"parameters": parameters},
    )
    assert "leads back to itself" in errors(document)
    loop = {"items": {"x": {"$ref": "loop.json#/items/y"}, "y": {"$ref": "loop.json#/items/x"}}}
    document = described({"/a": {"$ref": "loop.json#/items/x"}, "/b": {"get": operation()}})
    assert "leads back to itself" in errors(document, loop__json=loop)
    # Schemas that hold themselves are ordinary.
    node = {"type": "object", "properties": {"next": {"$ref": "#/components/schemas/N"}}}
    assert compiled(described({"/a": {"get": operation()}}, components={"schemas": {"N": node}})).operations


def test_files_without_end_are_bounded() -> None:
    files: dict[str, Any] = {
        f"f{n}__json": {"x": {"$ref": f"f{n + 1}.json#/x"}} for n in range(MAX_FILES + 20)
    }
    document = described({"/a": {"get": operation(parameters=[{"$ref": "f0.json#/x"}])}})
    assert "error" in errors(document, **files)


# --- hostile ones ------------------------------------------------------------------------------------


def test_aliases_that_unfold_to_gigabytes() -> None:
    assert "unfolds to more" in errors(b"openapi: 3.0.0\n" + bomb(30))


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9, 0.999])
def test_a_file_cut_short(share: float) -> None:
    data = json.dumps(described({f"/a{n}": {"get": operation()} for n in range(50)})).encode()
    assert "line 1" in errors(data[: int(len(data) * share)])


def test_more_operations_than_are_served_are_refused_within_bounds() -> None:
    document = described({f"/a{n}": {"get": operation()} for n in range(100_000)})
    data = json.dumps(document).encode()
    began = time.process_time()
    assert "more than 20000 operations" in errors(data)
    assert time.process_time() - began < 20
    # Also where they are not seen at once: one path item, many base paths.
    servers = [{"url": f"/{n}"} for n in range(10)]
    document = described({f"/a{n}": {"get": operation()} for n in range(20)}, servers=servers)
    assert "more than 100 operations" in errors(document, Options(most_operations=100))


def test_a_million_mistakes_are_told_in_a_bounded_list() -> None:
    document = described({f"/a{n}": {"get": operation(x={"effect": "no"})} for n in range(3000)})
    assert len(errors(document).splitlines()) <= MAX_FINDINGS


def test_deep_json_is_one_error() -> None:
    data = json.dumps(described({"/a": {"get": operation()}})).encode()[:-1] + b', "x-deep": '
    assert errors(data + b"[" * 100_000 + b"]" * 100_000 + b"}").endswith("nested too deeply")
