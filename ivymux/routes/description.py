"""Compiles an OpenAPI 3.0 or 3.1 description into operations; the caller provides the file reader."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from functools import cache
from importlib import resources
from itertools import islice, product
from typing import Any
from urllib.parse import urlsplit

import jsonschema_rs
import msgspec

from ivymux.routes.extension import EXTENSION_KEY, OperationSettings, parse_extension, parse_number
from ivymux.routes.matcher import Clash, Route, Router
from ivymux.routes.model import (
    METHODS,
    SAFE_METHODS,
    ClassDefaults,
    CompiledDescription,
    Cost,
    DescriptionError,
    Findings,
    Key,
    Operation,
    Options,
)  # fmt: skip
from ivymux.routes.override import is_override
from ivymux.routes.refs import Documents, ReadFile, RefError, check_references, escape_pointer_part
from ivymux.routes.template import TemplateError, parse_segment, parse_template
from ivymux.text import TextError
from orchidhill.interface import Effect

VERSION = re.compile(r"3\.[01]\.\d+(-.+)?")
MAX_BASE_PATHS = 16  # base paths of one operation
MAX_SCHEMA_ERRORS = 20
SERVER_VARIABLE = re.compile(r"\{([^{}]+)\}")
BasePaths = tuple[str, ...]


def compile_description(name: str, read: ReadFile, options: Options | None = None) -> CompiledDescription:
    """Compile the description in file `name`; `read` returns the bytes of a file by its path.

    Raises DescriptionError with all findings if one of them is an error, so that no part of it is served.
    """
    options = options or Options()
    findings = Findings()
    documents = Documents(read)
    try:
        root = documents.load(name)
    except (RefError, TextError) as error:
        # The error's text begins with the file's name, which a finding has as a field of its own.
        findings.error(name, "", str(error).removeprefix(f"{name}: "))
        raise DescriptionError(findings.kept) from None
    compiler = DescriptionCompiler(documents, name, root, options, findings)
    operations = compiler.compile_operations() if compiler.is_valid() else []
    if findings.errors:
        raise DescriptionError(findings.kept)
    info = root["info"]
    return CompiledDescription(
        str(info.get("title", "")), str(info.get("version", "")), operations, findings.kept,
        findings.left_out, documents.digests,
    )  # fmt: skip


@cache
def meta_schema(version: str) -> Any:
    """Build a validator from the published schema of an OpenAPI version, which a library ships."""
    folder = resources.files("openapi_spec_validator") / "resources" / "schemas" / f"v{version}"
    return jsonschema_rs.validator_for(json.loads((folder / "schema.json").read_text()))


class DescriptionCompiler:
    """Compiles one description; problems are added to the findings."""

    def __init__(
        self, documents: Documents, name: str, root: Any, options: Options, findings: Findings
    ) -> None:
        self.documents, self.name, self.root = documents, name, root
        self.options, self.findings = options, findings
        self.ids: dict[str, str] = {}  # the JSON pointer of each operationId
        self.router = Router()
        self.operation_count = 0

    # --- the whole document ------------------------------------------------------------------------

    def is_valid(self) -> bool:
        """Check the version, the number of operations, the published schema and the references."""
        error = self.findings.error
        if not isinstance(self.root, dict):
            error(self.name, "", "not an OpenAPI description: the file does not contain an object")
            return False
        version = self.root.get("openapi")
        if not isinstance(version, str) or not VERSION.fullmatch(version):
            reason = (
                "Swagger 2.0 is not supported" if "swagger" in self.root else f"the version is {version!r}"
            )
            error(self.name, "/openapi", f"not OpenAPI 3.0 or 3.1: {reason}"[:200])
            return False
        if self.count_operations() > self.options.most_operations:  # before the expensive checks
            self.report_too_many_operations()
            return False
        try:
            problems = list(islice(meta_schema(version[:3]).iter_errors(self.root), MAX_SCHEMA_ERRORS))
        except ValueError as failure:  # beyond the validator's limits, such as 300 levels of nesting
            error(self.name, "", f"cannot be validated: {failure}")
            return False
        for problem in problems:
            pointer = "".join("/" + escape_pointer_part(str(part)) for part in problem.instance_path)
            error(self.name, pointer, " ".join(problem.message.split()))
        check_references(self.documents, self.name, self.findings)
        return not self.findings.errors

    def count_operations(self) -> int:
        """Count the operations in the main file, without those of referenced files."""
        paths = self.root.get("paths")
        items = paths.values() if isinstance(paths, dict) else ()
        return sum(method in item for item in items if isinstance(item, dict) for method in METHODS)

    def report_too_many_operations(self) -> None:
        limit = self.options.most_operations
        self.findings.error(self.name, "/paths", f"more than {limit} operations")

    def compile_operations(self) -> list[Operation]:
        """Compile all operations and check them against each other."""
        operations = list(self.compile_paths())
        if not operations and not self.findings.errors:
            self.findings.error(self.name, "/paths", "no operations: there is nothing to serve")
        if not self.findings.errors:
            check_ambiguous_paths(self.router, operations, self.name, self.findings)
        return operations

    def compile_paths(self) -> Iterator[Operation]:
        """Compile the operations of all path items."""
        paths = self.root.get("paths") or {}
        outer = self.read_settings(self.name, "", self.root, OperationSettings())
        servers = self.base_paths(self.name, "/servers", self.root.get("servers"), ("",))
        for path, raw in paths.items():
            if path.startswith("x-"):
                continue
            file, pointer = self.name, f"/paths/{escape_pointer_part(path)}"
            try:
                parse_template(path)
                item_file, item_pointer, item = self.documents.resolve(file, pointer, raw)
                if isinstance(raw, dict) and "$ref" in raw and len(raw) > 1:
                    # Whether siblings of $ref apply is undefined (OpenAPI 3.1, 4.8.9.1).
                    siblings = [k for k in raw if k not in ("$ref", "summary", "description")]
                    if siblings:
                        self.findings.error(file, pointer, f"{siblings[0]} next to $ref: use one of the two")
                        continue
            except (TemplateError, RefError, TextError) as error:
                self.findings.error(file, pointer, str(error))
                continue
            if not isinstance(item, dict):
                self.findings.error(item_file, item_pointer, "not a path item")
                continue
            yield from self.compile_path_item(path, item_file, item_pointer, item, outer, servers)
            if self.operation_count > self.options.most_operations:
                self.report_too_many_operations()
                return

    def compile_path_item(
        self,
        path: str,
        file: str,
        pointer: str,
        item: dict[str, Any],
        outer: OperationSettings,
        servers: BasePaths,
    ) -> Iterator[Operation]:
        """Compile the operations of one path, once for each base path of their servers.

        `file` and `pointer` are the position of the path item; `outer` and `servers` apply where the path
        item has none of its own.
        """
        settings = self.read_settings(file, pointer, item, outer)
        servers = self.base_paths(file, f"{pointer}/servers", item.get("servers"), servers)
        shared_parameters = self.read_parameters(file, f"{pointer}/parameters", item.get("parameters"))
        for method in METHODS:
            if method not in item:
                continue
            raw = item[method]
            inner_pointer = f"{pointer}/{method}"
            if not isinstance(raw, dict):
                self.findings.error(file, inner_pointer, "not an operation")
                continue
            own_parameters = self.read_parameters(file, f"{inner_pointer}/parameters", raw.get("parameters"))
            bases = self.base_paths(file, f"{inner_pointer}/servers", raw.get("servers"), servers)
            inherited = settings
            nearest = self.read_settings(file, inner_pointer, raw, OperationSettings())
            for base in bases:
                operation = self.compile_operation(
                    base + path,
                    method.upper(),
                    file,
                    inner_pointer,
                    raw,
                    nearest,
                    inherited,
                    {**shared_parameters, **own_parameters},
                )
                if operation is not None and self.add_route(operation, file, inner_pointer):
                    yield operation

    def add_route(self, operation: Operation, file: str, pointer: str) -> bool:
        """Add an operation to the router; return whether that was possible."""
        self.operation_count += 1
        if self.operation_count > self.options.most_operations:
            return False
        try:
            routes = self.router.add(operation)
        except TemplateError as error:
            self.findings.error(file, pointer, f"{operation.path}: {error}")
            return False
        except Clash as clash:
            self.findings.error(file, pointer, f"{clash}: a target would match two operations")
            return False
        others = {r.operation.path for r in routes.values()} - {operation.path}
        if others:
            self.findings.warning(
                file,
                pointer,
                f"{operation.path} differs from {min(others)} only in parameter names: treated as one path",
            )
        return True

    # --- parts of the document -----------------------------------------------------------------------

    def read_settings(
        self, file: str, pointer: str, raw: dict[str, Any], outer: OperationSettings
    ) -> OperationSettings:
        """Parse the extension of an object, if it has one, on top of the outer settings."""
        if EXTENSION_KEY not in raw:
            return outer
        inner_pointer = f"{pointer}/{EXTENSION_KEY}"
        return parse_extension(
            raw[EXTENSION_KEY],
            self.options.most_deadline,
            lambda below, text: self.findings.error(file, inner_pointer + below, text),
        ).with_defaults(outer)

    def read_parameters(self, file: str, pointer: str, raw: Any) -> dict[tuple[str, str], Any]:
        """Read a list of parameters, by location and name."""
        parameters: dict[tuple[str, str], Any] = {}
        for index, item in enumerate(raw if isinstance(raw, list) else ()):
            inner_pointer = f"{pointer}/{index}"
            try:
                _, _, parameter = self.documents.resolve(file, inner_pointer, item)
            except (RefError, TextError) as error:
                self.findings.error(file, inner_pointer, str(error))
                continue
            if not isinstance(parameter, dict):
                self.findings.error(file, inner_pointer, "not a parameter")
                continue
            location, name = str(parameter.get("in")), str(parameter.get("name"))
            key = (location, name.lower() if location == "header" else name)
            if key in parameters:
                self.findings.error(file, inner_pointer, f"duplicate parameter {name!r} in {location}")
            if location == "path" and parameter.get("style", "simple") != "simple":
                self.findings.error(
                    file, inner_pointer, f"path parameters of style {parameter['style']!r} are not served"
                )
            parameters[key] = parameter
        return parameters

    def base_paths(self, file: str, pointer: str, raw: Any, inherited: BasePaths) -> BasePaths:
        """Return the distinct base paths of a list of servers; the inherited ones if there is no list."""
        if self.options.base is not None:
            return (self.options.base.rstrip("/"),)
        if not isinstance(raw, list) or not raw:
            return inherited
        paths: dict[str, None] = {}
        for index, server in enumerate(raw):
            inner_pointer = f"{pointer}/{index}/url"
            if not isinstance(server, dict):
                continue
            for url in self.expand_url(file, inner_pointer, server):
                try:
                    base = urlsplit(url).path.rstrip("/")
                except ValueError:
                    self.findings.error(file, inner_pointer, f"invalid URL: {url[:120]!r}")
                    continue
                if base and not base.startswith("/"):
                    base = "/" + base
                paths[base] = None
        if len(paths) > MAX_BASE_PATHS:
            self.findings.error(
                file, pointer, f"more than {MAX_BASE_PATHS} base paths; set one in the site file"
            )
            return inherited
        return tuple(paths) or inherited

    def expand_url(self, file: str, pointer: str, server: dict[str, Any]) -> list[str]:
        """Substitute the variables of a server's URL: all values for those in its path, else the default."""
        url = str(server.get("url", ""))
        names = list(dict.fromkeys(SERVER_VARIABLE.findall(url)))
        variables = server.get("variables") or {}
        path_start = url.find("/", url.find("://") + 3) if "://" in url else 0
        choices = []
        for name in names:
            variable = variables.get(name)
            if not isinstance(variable, dict) or not isinstance(variable.get("default"), str):
                self.findings.error(file, pointer, f"the variable {name!r} has no default")
                return []
            in_path = path_start >= 0 and "{" + name + "}" in url[path_start:]
            values = variable.get("enum") if in_path else None
            choices.append([str(v) for v in values] if isinstance(values, list) else [variable["default"]])
        urls: list[str] = []
        for values in product(*choices):
            if len(urls) > MAX_BASE_PATHS:
                break  # one more than allowed, which the caller reports
            filled = dict(zip(names, values, strict=True))
            urls.append(SERVER_VARIABLE.sub(lambda match, filled=filled: filled[match[1]], url))  # type: ignore[misc]
        return urls

    def compile_operation(
        self,
        path: str,
        method: str,
        file: str,
        pointer: str,
        raw: dict[str, Any],
        nearest: OperationSettings,
        inherited: OperationSettings,
        parameters: dict[tuple[str, str], Any],
    ) -> Operation | None:
        """Compile one operation; return None if its operationId is already used.

        `nearest` are the settings of the operation's own extension, `inherited` those that apply around it.
        """
        operation_id = raw.get("operationId")
        if isinstance(operation_id, str):
            if self.ids.setdefault(operation_id, pointer) != pointer:
                self.findings.error(
                    file,
                    pointer,
                    f"the operationId {operation_id!r} is already used at {self.ids[operation_id]}",
                )
                return None
        else:
            operation_id = f"{method} {path}"
        settings = nearest.with_defaults(inherited)
        effect = self.resolve_effect(method, file, pointer, nearest, inherited)
        cls = settings.cls or effect.value
        class_defaults = self.options.classes.get(cls, ClassDefaults())
        options = self.options
        deadline = first_set(settings.deadline, class_defaults.deadline, options.deadline)
        aim = min(first_set(settings.aim, class_defaults.aim, options.aim), deadline)
        cost = settings.cost or Cost()
        key = settings.key or Key()
        self.check_parameters(path, file, pointer, parameters)
        if raw.get("deprecated") is True:
            self.findings.note(file, pointer, f"{method} {path} is deprecated")
        if cost.source and (cost.source, cost.name) not in parameters:
            self.findings.error(
                file,
                pointer,
                f"the cost depends on {cost.source}.{cost.name}, which is not a parameter of the operation",
            )
        elif cost.source:
            cost = self.apply_schema_default(cost, parameters[cost.source, cost.name])
        if effect is Effect.KEYED and method in SAFE_METHODS:
            self.findings.note(file, pointer, "a keyed read is not retried without its key")
        overrides = tuple(
            name for location, name in parameters if location in ("query", "header") and is_override(name)
        )
        if overrides and effect is not Effect.UNSAFE:
            self.findings.error(
                file,
                pointer,
                f"{overrides[0]!r} can override the method, so the effect must be unsafe",
            )
        return Operation(
            operation_id, method, path, cls, effect, cost, aim, deadline,
            first_set(settings.worth, class_defaults.worth, options.worth),
            key if effect is Effect.KEYED else None, raw.get("deprecated") is True, overrides,
        )  # fmt: skip

    def resolve_effect(
        self, method: str, file: str, pointer: str, nearest: OperationSettings, inherited: OperationSettings
    ) -> Effect:
        """Return the declared effect; by default "safe" for HTTP's safe methods and "unsafe" for all others.

        PUT and DELETE are unsafe too, because a backend may not implement them idempotently.
        """
        if nearest.effect is not None:
            if nearest.effect is Effect.SAFE and method not in SAFE_METHODS:
                self.findings.note(file, pointer, f"{method} is declared safe: it may be sent more than once")
            return nearest.effect
        if inherited.effect is Effect.SAFE and method not in SAFE_METHODS:
            # An effect "safe" that is declared for a path or the whole file is meant for the reads there.  It
            # must not cause retries of a write that is added later.
            self.findings.warning(
                file,
                pointer,
                f"inherited 'effect: safe' does not apply to {method}: unsafe unless declared there",
            )
            return Effect.UNSAFE
        if inherited.effect is not None:
            return inherited.effect
        if method not in SAFE_METHODS:
            self.findings.note(file, pointer, f"{method} declares no effect: treated as unsafe")
            return Effect.UNSAFE
        return Effect.SAFE

    def check_parameters(
        self, path: str, file: str, pointer: str, parameters: dict[tuple[str, str], Any]
    ) -> None:
        """Warn about path parameters that are not described, or not in the path."""
        template_names = {name for part in path.split("/") if "{" in part for name in parameter_names(part)}
        for name in sorted(template_names - {n for location, n in parameters if location == "path"}):
            self.findings.warning(file, pointer, f"the path parameter {name!r} is not described")
        for location, name in parameters:
            if location == "path" and name not in template_names:
                self.findings.warning(file, pointer, f"the path parameter {name!r} is not in the path")

    def apply_schema_default(self, cost: Cost, parameter: dict[str, Any]) -> Cost:
        """Use the default of the parameter's schema for requests without the parameter."""
        schema = parameter.get("schema")
        default = parse_number(schema.get("default"), 1e15) if isinstance(schema, dict) else None
        if default is None:
            return cost
        return msgspec.structs.replace(cost, amount=cost_units(cost, default))


def parameter_names(part: str) -> tuple[str, ...]:
    """Return the parameters of a template's segment; none if it is invalid."""
    try:
        return parse_segment(part).names
    except TemplateError:
        return ()


def first_set(*values: float | None) -> float:
    """Return the first value that is not None."""
    return next(value for value in values if value is not None)


def cost_units(cost: Cost, value: float) -> float:
    """Return the units for a parameter's value: divided by `per`, rounded up, from 1 to `most`."""
    return min(cost.most, max(1.0, float(-(-value // cost.per))))


def check_ambiguous_paths(router: Router, operations: list[Operation], file: str, findings: Findings) -> None:
    """Report paths that a backend may treat as equal; an error if their effects differ."""
    seen: dict[tuple[str, str], Operation] = {}
    for operation in operations:
        normalized = "/".join(
            part if "{" in part else part.casefold() for part in operation.path.rstrip("/").split("/")
        )
        other = seen.setdefault((operation.method, normalized), operation)
        if other is not operation:
            same = other.effect is operation.effect
            text = (
                f"{operation.method} {operation.path} and {other.path}"
                " differ only in case or a trailing slash"
            )
            if same:
                findings.note(file, "/paths", text)
            else:
                findings.error(
                    file,
                    "/paths",
                    f"{text}, and one is {operation.effect.value}, the other {other.effect.value}",
                )
    check_shadowed_templates(router, operations, file, findings)


def check_shadowed_templates(
    router: Router, operations: list[Operation], file: str, findings: Findings
) -> None:
    """Warn of a literal path that also matches a template of another effect.

    A backend with another order of precedence would run the other operation.
    """
    for operation in operations:
        if "{" in operation.path:
            continue
        for route in overlapping_routes(router, parse_template(operation.path)):
            other = route.operation
            if other.method == operation.method and other.effect is not operation.effect:
                findings.warning(
                    file, "/paths",
                    f"{operation.method} {operation.path} is {operation.effect.value} and takes precedence"
                    f" over {other.path}, which is {other.effect.value}: check that the worker does the same",
                )  # fmt: skip


def overlapping_routes(router: Router, template: Any, max_steps: int = 64) -> Iterator[Route]:
    """Yield the routes of other templates that a literal path matches, found within `max_steps` nodes."""
    # Entries: a node, its depth, and whether only literal segments lead to it, as to the path's own template.
    stack = [(router.root, 0, True)]
    steps = 0
    while stack and steps < max_steps:
        steps += 1
        node, position, only_literals = stack.pop()
        if position == len(template):
            if not only_literals:
                yield from (node.routes or {}).values()
            continue
        text = template[position].literal
        if text in node.literals:
            stack.append((node.literals[text], position + 1, only_literals))
        if text and node.partials is not None:
            stack.extend((partial, position + 1, False) for partial in node.partials.matching(text))
        if text and node.parameter is not None:
            stack.append((node.parameter, position + 1, False))
