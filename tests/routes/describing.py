"""Builds and compiles small OpenAPI descriptions for tests."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ivymux.routes.description import compile_description
from ivymux.routes.model import CompiledDescription, DescriptionError, Options

RESPONSES = {"200": {"description": "done"}}


def operation(**fields: Any) -> dict[str, Any]:
    """Build an operation; the argument `x` is its `x-ivymux`."""
    fields_with_extension: dict[str, Any] = {"responses": RESPONSES}
    for name, value in fields.items():
        fields_with_extension["x-ivymux" if name == "x" else name] = value
    return fields_with_extension


def described(paths: dict[str, Any], version: str = "3.0.3", **root: Any) -> dict[str, Any]:
    """Build a description; path parameters that are not declared are added."""
    completed = {}
    for path, item in paths.items():
        names = [part.partition("}")[0] for part in path.split("{")[1:]]
        parameters = [
            {"name": n, "in": "path", "required": True, "schema": {"type": "string"}} for n in names
        ]
        completed[path] = {"parameters": parameters, **item} if parameters and "$ref" not in item else item
    root_extension = {"x-ivymux": root.pop("x")} if "x" in root else {}
    return {
        "openapi": version,
        "info": {"title": "t", "version": "1"},
        "paths": completed,
        **root,
        **root_extension,
    }


def file_reader(files: dict[str, bytes]) -> Callable[[str], bytes]:
    def read(name: str) -> bytes:
        if name not in files:
            raise FileNotFoundError(2, "No such file")
        return files[name]

    return read


def compiled(document: Any, options: Options | None = None, **files: Any) -> CompiledDescription:
    """Compile a description; `files` are further files, with two underscores for the dot of a name."""
    data = {"api.json": document if isinstance(document, bytes) else json.dumps(document).encode()}
    for name, value in files.items():
        data[name.replace("__", ".")] = value if isinstance(value, bytes) else json.dumps(value).encode()
    return compile_description("api.json", file_reader(data), options)


def compile_errors(document: Any, options: Options | None = None, **files: Any) -> str:
    """Compile an invalid description and return its errors, a line each."""
    try:
        compiled(document, options, **files)
    except DescriptionError as error:
        assert error.findings and error.findings[0].level == "error"
        return "\n".join(str(f) for f in error.findings if f.level == "error")
    raise AssertionError("the description was accepted")


def effects(document: Any, options: Options | None = None) -> dict[str, str]:
    """Compile a description and return each operation's effect."""
    return {f"{o.method} {o.path}": o.effect.value for o in compiled(document, options).operations}
