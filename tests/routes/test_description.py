"""Compiling descriptions: effects, references, base paths, and the refusal of invalid or hostile ones."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from ivymux.routes.model import MAX_FINDINGS, ClassDefaults, Cost, Options
from ivymux.routes.refs import MAX_FILES
from orchidhill.interface import Effect
from tests.test_text import alias_bomb

from .describing import compile_errors, compiled, described, effects, operation

PATH_PARAMETER = {"name": "x", "in": "path", "required": True, "schema": {"type": "string"}}
UNSAFE = operation(x={"effect": "unsafe"})


# --- effects -----------------------------------------------------------------------------------------


def test_without_a_declared_effect_writes_are_unsafe_and_reads_are_safe() -> None:
    methods = ("get", "head", "options", "trace", "post", "put", "delete", "patch")
    result = effects(described({"/a": {m: operation() for m in methods}}))
    assert result == {
        "GET /a": "safe", "HEAD /a": "safe", "OPTIONS /a": "safe", "TRACE /a": "safe",
        "POST /a": "unsafe", "PUT /a": "unsafe", "DELETE /a": "unsafe", "PATCH /a": "unsafe",
    }  # fmt: skip


def test_a_class_alone_does_not_make_a_write_safe() -> None:
    assert effects(described({"/a": {"post": operation(x={"class": "read-minutes"})}})) == {
        "POST /a": "unsafe"
    }


def test_a_declared_effect_applies_whatever_the_method() -> None:
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


def test_the_innermost_extension_wins_field_by_field() -> None:
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


def test_an_inherited_safe_effect_does_not_apply_to_writes() -> None:
    document = described({"/a": {"get": operation(), "post": operation()}}, x={"effect": "safe"})
    assert effects(document) == {"GET /a": "safe", "POST /a": "unsafe"}
    document = described({"/a": {"x-ivymux": {"effect": "safe"}, "delete": operation()}})
    assert effects(document) == {"DELETE /a": "unsafe"}
    assert any("does not apply to DELETE" in f.text for f in compiled(document).findings)


@pytest.mark.parametrize(
    ("raw", "expected"),
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
        ({"cost": {"from": "query.limit", "most": 5}}, "is not a parameter of the operation"),
        ({"aim": 0}, "/aim"),
        ({"deadline": 1e9}, "/deadline"),
        ({"key": "body.x"}, "/key"),
        ({"key": 5}, "/key"),
        ("safe", "not an object"),
    ],
)
def test_an_error_in_the_extension_is_reported_with_its_pointer(raw: Any, expected: str) -> None:
    assert expected in compile_errors(described({"/a": {"get": operation(x=raw)}}))


def test_a_site_sets_the_defaults_of_classes() -> None:
    options = Options(aim=1, deadline=3, classes={"c": ClassDefaults(deadline=9, worth=2)})
    document = described(
        {"/a": {"get": operation(x={"class": "c"})}, "/c": {"get": operation()},
         "/b": {"get": operation(x={"class": "c", "deadline": 0.5})}}
    )  # fmt: skip
    a, c, b = compiled(document, options).operations
    assert (a.aim, a.deadline, a.worth) == (1, 9, 2)
    assert (b.aim, b.deadline) == (0.5, 0.5)  # a target latency beyond the deadline would be useless
    assert (c.aim, c.deadline, c.worth) == (1, 3, 1)


def test_a_cost_uses_the_default_of_its_parameters_schema() -> None:
    parameter = {"name": "limit", "in": "query", "schema": {"type": "integer", "default": 250}}
    cost = {"from": "query.limit", "per": 100, "most": 5}
    document = described({"/a": {"get": operation(parameters=[parameter], x={"cost": cost})}})
    assert compiled(document).operations[0].cost == Cost(3, "query", "limit", 100, 5)


# --- the document ------------------------------------------------------------------------------------


@pytest.mark.parametrize("version", ["3.0.0", "3.0.4", "3.1.0", "3.1.1"])
def test_supported_versions(version: str) -> None:
    assert len(compiled(described({"/a": {"get": operation()}}, version)).operations) == 1


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        ({"swagger": "2.0", "info": {}, "paths": {}}, "Swagger 2.0 is not supported"),
        (described({"/a": {"get": operation()}}, "4.0.0"), "not OpenAPI 3.0 or 3.1"),
        (["x"], "does not contain an object"),
        (described({}), "no operations"),
        (described({"/a": {"get": {}}}), "/paths/~1a/get"),
        (described({"a": {"get": operation()}}), "error"),
        (described({"/a": {"gett": operation()}}), "/paths/~1a"),
        (described({"/a//b": {"get": operation()}}), "empty segment (doubled slash)"),
        (described({"/{x}/{x}": {"get": operation()}}), "non-unique"),
        (described({"/a": {m: operation(operationId="o") for m in ("get", "put")}}), "operationId 'o'"),
        (described({"/{x}": {"get": operation()}, "/{y}": {"get": operation()}}), "a target would match two"),
        (described({"/a/b": {"get": operation()}, "/a/B": {"get": UNSAFE}}), "only in case"),
        (described({"/a": {"get": operation()}, "/a/": {"get": UNSAFE}}), "trailing slash"),
        (described({"/{x}": {"parameters": [PATH_PARAMETER | {"style": "matrix"}], "get": UNSAFE}}),
         "style 'matrix'"),
        (described({"/a": {"get": operation(parameters=[{"name": "_method", "in": "query", "schema": {}}])}}),
         "can override the method"),
    ],
)  # fmt: skip
def test_an_invalid_description_is_refused_with_the_errors_pointer(document: Any, expected: str) -> None:
    assert expected in compile_errors(document)


def test_templates_that_differ_only_in_parameter_names_are_merged_if_their_methods_differ() -> None:
    document = described({"/a/{x}": {"get": operation()}, "/a/{y}": {"post": operation()}})
    result = compiled(document)
    assert len(result.operations) == 2
    assert [f.level for f in result.findings if "only in parameter names" in f.text] == ["warning"]


def test_a_literal_path_that_shadows_a_template_of_another_effect_is_warned_of() -> None:
    document = described(
        {"/a/new": {"get": operation(x={"effect": "unsafe"})}, "/a/{id}": {"get": operation()}}
    )
    assert any(
        "takes precedence over /a/{id}" in f.text and f.level == "warning"
        for f in compiled(document).findings
    )


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
    overridden = compiled(document, Options(base="/mine/")).operations
    assert {o.path for o in overridden} == {"/mine/a", "/mine/b"}


def test_a_server_whose_variables_multiply_is_refused_quickly() -> None:
    names = [f"v{n}" for n in range(40)]
    variables = {n: {"default": "a", "enum": [f"{n}{k}" for k in range(50)]} for n in names}
    server = {"url": "/" + "/".join(f"{{{n}}}" for n in names), "variables": variables}
    assert "base paths" in compile_errors(described({"/a": {"get": operation()}}, servers=[server]))


# --- references --------------------------------------------------------------------------------------


def test_references_within_the_file_and_to_other_files() -> None:
    limit = {"name": "limit", "in": "query", "schema": {"type": "integer", "default": 10}}
    item = {"get": operation(operationId="there", parameters=[{"$ref": "more.json#/limit"}],
                             x={"cost": {"from": "query.limit", "per": 5, "most": 9}})}  # fmt: skip
    document = described({"/a": {"$ref": "paths.json#/items/~1a"}, "/b": {"get": operation(
        parameters=[{"$ref": "#/components/parameters/p"}])}},
        components={"parameters": {"p": {"$ref": "more.json#/limit"}}})  # fmt: skip
    result = compiled(document, paths__json={"items": {"/a": item}}, more__json={"limit": limit})
    assert [(o.id, o.cost.amount) for o in result.operations] == [("there", 2), ("GET /b", 1)]
    assert set(result.files) == {"api.json", "paths.json", "more.json"}


@pytest.mark.parametrize(
    ("ref", "expected"),
    [
        ("https://x.example/a.json#/p", "is not fetched"),
        ("//x/a.json", "is not fetched"),
        ("file:///etc/passwd", "is not fetched"),
        ("../secret.json#/p", "outside the description's folder"),
        ("a/../../secret.json", "outside the description's folder"),
        ("%2e%2e/secret.json", "outside the description's folder"),
        ("/etc/passwd", "outside the description's folder"),
        ("gone.json#/p", "cannot read gone.json"),
        ("#/components/nothing", "has no target"),
        ("#anchor", "not a JSON pointer"),
        ("bad.json", "bad.json"),
    ],
)
def test_invalid_references_are_refused(ref: str, expected: str) -> None:
    document = described({"/a": {"get": operation(parameters=[{"$ref": ref}])}})
    assert expected in compile_errors(document, bad__json=b'{"cut')
    # The same in a schema that no route needs, because the file is not what its author intended.
    schema = {"type": "object", "properties": {"p": {"$ref": ref}}}
    document = described({"/a": {"get": operation()}}, components={"schemas": {"S": schema}})
    assert expected in compile_errors(document, bad__json=b'{"cut')


def test_a_ref_key_in_an_example_is_data() -> None:
    schema = {"type": "object", "example": {"$ref": "https://x"}, "properties": {"$ref": {"type": "string"}}}
    assert compiled(described({"/a": {"get": operation()}}, components={"schemas": {"S": schema}})).operations


def test_circular_references_are_errors_except_in_schemas() -> None:
    parameters = {"p": {"$ref": "#/components/parameters/q"}, "q": {"$ref": "#/components/parameters/p"}}
    document = described(
        {"/a": {"get": operation(parameters=[{"$ref": "#/components/parameters/p"}])}},
        components={"parameters": parameters},
    )
    assert "a circular reference" in compile_errors(document)
    loop = {"items": {"x": {"$ref": "loop.json#/items/y"}, "y": {"$ref": "loop.json#/items/x"}}}
    document = described({"/a": {"$ref": "loop.json#/items/x"}, "/b": {"get": operation()}})
    assert "a circular reference" in compile_errors(document, loop__json=loop)
    # Recursive schemas are valid.
    node = {"type": "object", "properties": {"next": {"$ref": "#/components/schemas/N"}}}
    assert compiled(described({"/a": {"get": operation()}}, components={"schemas": {"N": node}})).operations


def test_the_number_of_files_is_limited() -> None:
    files: dict[str, Any] = {
        f"f{n}__json": {"x": {"$ref": f"f{n + 1}.json#/x"}} for n in range(MAX_FILES + 20)
    }
    document = described({"/a": {"get": operation(parameters=[{"$ref": "f0.json#/x"}])}})
    assert "error" in compile_errors(document, **files)


# --- hostile descriptions ----------------------------------------------------------------------------


def test_aliases_that_would_expand_to_gigabytes_are_refused() -> None:
    assert "too large after expansion" in compile_errors(b"openapi: 3.0.0\n" + alias_bomb(30))


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9, 0.999])
def test_a_truncated_file_is_an_error(share: float) -> None:
    data = json.dumps(described({f"/a{n}": {"get": operation()} for n in range(50)})).encode()
    assert "line 1" in compile_errors(data[: int(len(data) * share)])


def test_too_many_operations_are_refused_in_limited_time() -> None:
    document = described({f"/a{n}": {"get": operation()} for n in range(100_000)})
    data = json.dumps(document).encode()
    began = time.process_time()
    assert "more than 20000 operations" in compile_errors(data)
    assert time.process_time() - began < 20
    # Base paths multiply the operations too.
    servers = [{"url": f"/{n}"} for n in range(10)]
    document = described({f"/a{n}": {"get": operation()} for n in range(20)}, servers=servers)
    assert "more than 100 operations" in compile_errors(document, Options(most_operations=100))


def test_the_list_of_findings_is_limited() -> None:
    document = described({f"/a{n}": {"get": operation(x={"effect": "no"})} for n in range(3000)})
    assert len(compile_errors(document).splitlines()) <= MAX_FINDINGS


def test_deeply_nested_json_is_one_error() -> None:
    data = json.dumps(described({"/a": {"get": operation()}})).encode()[:-1] + b', "x-deep": '
    assert compile_errors(data + b"[" * 100_000 + b"]" * 100_000 + b"}").endswith("nested too deeply")
