"""Small descriptions for tests."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ivymux.routes.description import compile_description
from ivymux.routes.model import Compiled, DescriptionError, Options

RESPONSES = {"200": {"description": "done"}}


def operation(**fields: Any) -> dict[str, Any]:
    """An operation; `x` stands for x-ivymux."""
    made: dict[str, Any] = {"responses": RESPONSES}
    for name, value in fields.items():
        made["x-ivymux" if name == "x" else name] = value
    return made


def described(paths: dict[str, Any], version: str = "3.0.3", **root: Any) -> dict[str, Any]:
    """A description; path parameters are added where they are left out."""
    filled = {}
    for path, item in paths.items():
        names = [part.partition("}")[0] for part in path.split("{")[1:]]
        parameters = [
            {"name": n, "in": "path", "required": True, "schema": {"type": "string"}} for n in names
        ]
        filled[path] = {"parameters": parameters, **item} if parameters and "$ref" not in item else item
    root_x = {"x-ivymux": root.pop("x")} if "x" in root else {}
    return {"openapi": version, "info": {"title": "t", "version": "1"}, "paths": filled, **root, **root_x}


def reader(files: dict[str, bytes]) -> Callable[[str], bytes]:
    def read(name: str) -> bytes:
        if name not in files:
            raise FileNotFoundError(2, "No such file")
        return files[name]

    return read


def compiled(document: Any, options: Options | None = None, **files: Any) -> Compiled:
    """A description compiled; `files` are those beside it, dots in names written as double underscores."""
    data = {"api.json": document if isinstance(document, bytes) else json.dumps(document).encode()}
    for name, value in files.items():
        data[name.replace("__", ".")] = value if isinstance(value, bytes) else json.dumps(value).encode()
    return compile_description("api.json", reader(data), options)


def errors(document: Any, options: Options | None = None, **files: Any) -> str:
    """The errors of a description that must not be served, a line each."""
    try:
        compiled(document, options, **files)
    except DescriptionError as error:
        assert error.findings and error.findings[0].level == "error"
        return "\n".join(str(f) for f in error.findings if f.level == "error")
    raise AssertionError("the description was taken")


def effects(document: Any, options: Options | None = None) -> dict[str, str]:
    return {f"{o.method} {o.path}": o.effect.value for o in compiled(document, options).operations}
