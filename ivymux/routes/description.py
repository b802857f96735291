"""An OpenAPI 3.0 or 3.1 description as operations.  Pure: files come by a function that is handed in."""

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

from ivymux.routes.extension import NAME, Terms, number, read_terms
from ivymux.routes.matcher import Clash, Route, Router
from ivymux.routes.model import (
    METHODS,
    READS,
    ClassTerms,
    Compiled,
    Cost,
    DescriptionError,
    Findings,
    Key,
    Operation,
    Options,
)  # fmt: skip
from ivymux.routes.override import is_override
from ivymux.routes.refs import Documents, Read, RefError, check_references, escape
from ivymux.routes.template import TemplateError, parse_segment, parse_template
from ivymux.text import TextError
from orchidhill.interface import Effect

VERSION = re.compile(r"3\.[01]\.\d+(-.+)?")
MAX_BASES = 16  # base paths of one operation
MAX_SCHEMA_ERRORS = 20
VARIABLE = re.compile(r"\{([^{}]+)\}")
ServerList = tuple[str, ...]


def compile_description(name: str, read: Read, options: Options | None = None) -> Compiled:
    """The operations of the description in file `name`; `read` gives each file's bytes by its path.

    Raises DescriptionError with every finding where one of them is an error: none of it is served then.
    """
    options = options or Options()
    findings = Findings()
    documents = Documents(read)
    try:
        root = documents.load(name)
    except (RefError, TextError) as error:
        # The text of an error in a file begins with the file's name.
        findings.error(name, "", str(error).removeprefix(f"{name}: "))
        raise DescriptionError(findings.kept) from None
    work = Compilation(documents, name, root, options, findings)
    operations = work.operations() if work.sound() else []
    if findings.errors:
        raise DescriptionError(findings.kept)
    info = root["info"]
    return Compiled(
        str(info.get("title", "")), str(info.get("version", "")), operations, findings.kept,
        findings.left_out, documents.digests,
    )  # fmt: skip


@cache
def meta_schema(version: str) -> Any:
    """The published schema of an OpenAPI version, as the validator library ships it."""
    folder = resources.files("openapi_spec_validator") / "resources" / "schemas" / f"v{version}"
    return jsonschema_rs.validator_for(json.loads((folder / "schema.json").read_text()))


class Compilation:
    """One description on its way to operations."""

    def __init__(
        self, documents: Documents, name: str, root: Any, options: Options, findings: Findings
    ) -> None:
        self.documents, self.name, self.root = documents, name, root
        self.options, self.findings = options, findings
        self.ids: dict[str, str] = {}
        self.router = Router()
        self.count = 0

    # --- the whole document ------------------------------------------------------------------------

    def sound(self) -> bool:
        """Whether the document is one of this kind, by the published schema and by its references."""
        error = self.findings.error
        if not isinstance(self.root, dict):
            error(self.name, "", "not an OpenAPI description: the file does not hold an object")
            return False
        version = self.root.get("openapi")
        if not isinstance(version, str) or not VERSION.fullmatch(version):
            told = "swagger 2.0 is not read; convert it" if "swagger" in self.root else f"it says {version!r}"
            error(self.name, "/openapi", f"not OpenAPI 3.0 or 3.1: {told}"[:200])
            return False
        if self.listed() > self.options.most_operations:  # before the costly steps
            self.too_many()
            return False
        try:
            problems = list(islice(meta_schema(version[:3]).iter_errors(self.root), MAX_SCHEMA_ERRORS))
        except ValueError as caught:  # what the validator can't look at, such as 300 levels
            error(self.name, "", f"can't be validated: {caught}")
            return False
        for problem in problems:
            place = "".join("/" + escape(str(part)) for part in problem.instance_path)
            error(self.name, place, " ".join(problem.message.split()))
        check_references(self.documents, self.name, self.findings)
        return not self.findings.errors

    def listed(self) -> int:
        """Operations that stand in the file itself."""
        paths = self.root.get("paths")
        items = paths.values() if isinstance(paths, dict) else ()
        return sum(method in item for item in items if isinstance(item, dict) for method in METHODS)

    def too_many(self) -> None:
        most = self.options.most_operations
        self.findings.error(self.name, "/paths", f"more than {most} operations")

    def operations(self) -> list[Operation]:
        made = list(self.walk())
        if not made and not self.findings.errors:
            self.findings.error(self.name, "/paths", "no operation: nothing could be served")
        if not self.findings.errors:
            look_for_confusion(self.router, made, self.name, self.findings)
        return made

    def walk(self) -> Iterator[Operation]:
        paths = self.root.get("paths") or {}
        outer = self.terms(self.name, "", self.root, Terms())
        servers = self.servers(self.name, "/servers", self.root.get("servers"), ("",))
        for path, raw in paths.items():
            if path.startswith("x-"):
                continue
            file, place = self.name, f"/paths/{escape(path)}"
            try:
                parse_template(path)
                at_file, at_place, item = self.documents.resolve(file, place, raw)
                if isinstance(raw, dict) and "$ref" in raw and len(raw) > 1:
                    # What stands beside it may be meant to count or not (OpenAPI 3.1, 4.8.9.1).
                    beside = [k for k in raw if k not in ("$ref", "summary", "description")]
                    if beside:
                        self.findings.error(file, place, f"{beside[0]} beside $ref: put it into one of both")
                        continue
            except (TemplateError, RefError, TextError) as error:
                self.findings.error(file, place, str(error))
                continue
            if not isinstance(item, dict):
                self.findings.error(at_file, at_place, "not a path item")
                continue
            yield from self.path_item(path, at_file, at_place, item, outer, servers)
            if self.count > self.options.most_operations:
                self.too_many()
                return

    def path_item(
        self, path: str, file: str, place: str, item: dict[str, Any], outer: Terms, servers: ServerList
    ) -> Iterator[Operation]:
        terms = self.terms(file, place, item, outer)
        servers = self.servers(file, f"{place}/servers", item.get("servers"), servers)
        shared = self.parameters(file, f"{place}/parameters", item.get("parameters"))
        for method in METHODS:
            if method not in item:
                continue
            raw = item[method]
            at = f"{place}/{method}"
            if not isinstance(raw, dict):
                self.findings.error(file, at, "not an operation")
                continue
            own = self.parameters(file, f"{at}/parameters", raw.get("parameters"))
            bases = self.servers(file, f"{at}/servers", raw.get("servers"), servers)
            inherited = terms
            nearest = self.terms(file, at, raw, Terms())
            for base in bases:
                operation = self.operation(
                    base + path, method.upper(), file, at, raw, nearest, inherited, {**shared, **own}
                )
                if operation is not None and self.place(operation, file, at):
                    yield operation

    def place(self, operation: Operation, file: str, at: str) -> bool:
        self.count += 1
        if self.count > self.options.most_operations:
            return False
        try:
            routes = self.router.add(operation)
        except TemplateError as error:
            self.findings.error(file, at, f"{operation.path}: {error}")
            return False
        except Clash as clash:
            self.findings.error(file, at, f"{clash}: one target would have two operations")
            return False
        others = {r.operation.path for r in routes.values()} - {operation.path}
        if others:
            self.findings.warning(
                file, at, f"{operation.path} differs from {min(others)} only in names: taken as one path"
            )
        return True

    # --- its parts -----------------------------------------------------------------------------------

    def terms(self, file: str, place: str, raw: dict[str, Any], outer: Terms) -> Terms:
        if NAME not in raw:
            return outer
        at = f"{place}/{NAME}"
        return read_terms(
            raw[NAME],
            self.options.most_deadline,
            lambda below, text: self.findings.error(file, at + below, text),
        ).over(outer)

    def parameters(self, file: str, place: str, raw: Any) -> dict[tuple[str, str], Any]:
        """Parameters by place and name."""
        found: dict[tuple[str, str], Any] = {}
        for number_, item in enumerate(raw if isinstance(raw, list) else ()):
            at = f"{place}/{number_}"
            try:
                _, _, parameter = self.documents.resolve(file, at, item)
            except (RefError, TextError) as error:
                self.findings.error(file, at, str(error))
                continue
            if not isinstance(parameter, dict):
                self.findings.error(file, at, "not a parameter")
                continue
            where, name = str(parameter.get("in")), str(parameter.get("name"))
            key = (where, name.lower() if where == "header" else name)
            if key in found:
                self.findings.error(file, at, f"the parameter {name!r} in {where} stands twice")
            if where == "path" and parameter.get("style", "simple") != "simple":
                self.findings.error(
                    file, at, f"path parameters of style {parameter['style']!r} are not served"
                )
            found[key] = parameter
        return found

    def servers(self, file: str, place: str, raw: Any, outer: ServerList) -> ServerList:
        """The base paths of a list of servers, each once."""
        if self.options.base is not None:
            return (self.options.base.rstrip("/"),)
        if not isinstance(raw, list) or not raw:
            return outer
        bases: dict[str, None] = {}
        for number_, server in enumerate(raw):
            at = f"{place}/{number_}/url"
            if not isinstance(server, dict):
                continue
            for url in self.urls(file, at, server):
                try:
                    base = urlsplit(url).path.rstrip("/")
                except ValueError:
                    self.findings.error(file, at, f"not an address: {url[:120]!r}")
                    continue
                if base and not base.startswith("/"):
                    base = "/" + base
                bases[base] = None
        if len(bases) > MAX_BASES:
            self.findings.error(file, place, f"more than {MAX_BASES} base paths; name one in the site file")
            return outer
        return tuple(bases) or outer

    def urls(self, file: str, place: str, server: dict[str, Any]) -> list[str]:
        """A server's address with its variables filled in, all ways that its path allows."""
        url = str(server.get("url", ""))
        names = list(dict.fromkeys(VARIABLE.findall(url)))
        variables = server.get("variables") or {}
        path_at = url.find("/", url.find("://") + 3) if "://" in url else 0
        choices = []
        for name in names:
            variable = variables.get(name)
            if not isinstance(variable, dict) or not isinstance(variable.get("default"), str):
                self.findings.error(file, place, f"the variable {name!r} has no default")
                return []
            in_path = path_at >= 0 and "{" + name + "}" in url[path_at:]
            values = variable.get("enum") if in_path else None
            choices.append([str(v) for v in values] if isinstance(values, list) else [variable["default"]])
        made: list[str] = []
        for values in product(*choices):
            if len(made) > MAX_BASES:
                break  # one more than is taken: the caller tells
            filled = dict(zip(names, values, strict=True))
            made.append(VARIABLE.sub(lambda found, filled=filled: filled[found[1]], url))  # type: ignore[misc]
        return made

    def operation(
        self, path: str, method: str, file: str, at: str, raw: dict[str, Any], nearest: Terms,
        inherited: Terms, parameters: dict[tuple[str, str], Any],
    ) -> Operation | None:  # fmt: skip
        identity = raw.get("operationId")
        if isinstance(identity, str):
            if self.ids.setdefault(identity, at) != at:
                self.findings.error(file, at, f"the operationId {identity!r} is that of {self.ids[identity]}")
                return None
        else:
            identity = f"{method} {path}"
        terms = nearest.over(inherited)
        effect = self.effect(method, file, at, nearest, inherited)
        cls = terms.cls or effect.value
        site = self.options.classes.get(cls, ClassTerms())
        options = self.options
        deadline = first(terms.deadline, site.deadline, options.deadline)
        aim = min(first(terms.aim, site.aim, options.aim), deadline)
        cost = terms.cost or Cost()
        key = terms.key or Key()
        self.check_parameters(path, file, at, parameters)
        if raw.get("deprecated") is True:
            self.findings.note(file, at, f"{method} {path} is deprecated")
        if cost.source and (cost.source, cost.name) not in parameters:
            self.findings.error(
                file, at, f"the cost is taken from {cost.source}.{cost.name}, which is no parameter here"
            )
        elif cost.source:
            cost = self.absent(cost, parameters[cost.source, cost.name])
        if effect is Effect.KEYED and method in READS:
            self.findings.note(file, at, "a keyed read: without its key it is not repeated")
        overrides = tuple(
            name for where, name in parameters if where in ("query", "header") and is_override(name)
        )
        if overrides and effect is not Effect.UNSAFE:
            self.findings.error(
                file,
                at,
                f"{overrides[0]!r} could make another method of it: only for unsafe ones",
            )
        return Operation(
            identity, method, path, cls, effect, cost, aim, deadline,
            first(terms.worth, site.worth, options.worth), key if effect is Effect.KEYED else None,
            raw.get("deprecated") is True, overrides,
        )  # fmt: skip

    def effect(self, method: str, file: str, at: str, nearest: Terms, inherited: Terms) -> Effect:
        """What is stated counts; else reads are safe and all others unsafe, PUT and DELETE too: what a
        method promises, the worker may not keep.
        """
        if nearest.effect is not None:
            if nearest.effect is Effect.SAFE and method not in READS:
                self.findings.note(file, at, f"{method} is declared safe: it may be sent more than once")
            return nearest.effect
        if inherited.effect is Effect.SAFE and method not in READS:
            # Said of a path or of the whole file it is meant for its reads; a write that is added later
            # must not come to be repeated by it.
            self.findings.warning(
                file, at, f"'effect: safe' from above does not count for {method}: it is unsafe; say it here"
            )
            return Effect.UNSAFE
        if inherited.effect is not None:
            return inherited.effect
        if method not in READS:
            self.findings.note(file, at, f"{method} states no effect: taken as unsafe")
            return Effect.UNSAFE
        return Effect.SAFE

    def check_parameters(self, path: str, file: str, at: str, parameters: dict[tuple[str, str], Any]) -> None:
        named = {name for part in path.split("/") if "{" in part for name in safely_named(part)}
        for name in sorted(named - {n for where, n in parameters if where == "path"}):
            self.findings.warning(file, at, f"the path parameter {name!r} is not described")
        for where, name in parameters:
            if where == "path" and name not in named:
                self.findings.warning(file, at, f"the path parameter {name!r} is not in the path")

    def absent(self, cost: Cost, parameter: dict[str, Any]) -> Cost:
        """Where a parameter is absent, its schema's default counts."""
        schema = parameter.get("schema")
        default = number(schema.get("default"), 1e15) if isinstance(schema, dict) else None
        if default is None:
            return cost
        return msgspec.structs.replace(cost, amount=scaled(cost, default))


def safely_named(part: str) -> tuple[str, ...]:
    try:
        return parse_segment(part).names
    except TemplateError:
        return ()


def first(*values: float | None) -> float:
    return next(value for value in values if value is not None)


def scaled(cost: Cost, value: float) -> float:
    """Units for a parameter's value: over `per`, rounded up, from 1 to `most`."""
    return min(cost.most, max(1.0, float(-(-value // cost.per))))


def look_for_confusion(router: Router, operations: list[Operation], file: str, findings: Findings) -> None:
    """Places that a worker might take for one another, where that would change the effect."""
    spelt: dict[tuple[str, str], Operation] = {}
    for operation in operations:
        bare = "/".join(
            part if "{" in part else part.casefold() for part in operation.path.rstrip("/").split("/")
        )
        other = spelt.setdefault((operation.method, bare), operation)
        if other is not operation:
            same = other.effect is operation.effect
            text = (
                f"{operation.method} {operation.path} and {other.path} differ only in case or a closing slash"
            )
            if same:
                findings.note(file, "/paths", text)
            else:
                findings.error(
                    file,
                    "/paths",
                    f"{text}, and one is {operation.effect.value}, the other {other.effect.value}",
                )
    look_for_shadows(router, operations, file, findings)


def look_for_shadows(router: Router, operations: list[Operation], file: str, findings: Findings) -> None:
    """Templates that a concrete path takes targets from: a worker with another order would run the other."""
    for operation in operations:
        if "{" in operation.path:
            continue
        for route in beside(router, parse_template(operation.path)):
            other = route.operation
            if other.method == operation.method and other.effect is not operation.effect:
                findings.warning(
                    file, "/paths",
                    f"{operation.method} {operation.path} is {operation.effect.value} and goes before"
                    f" {other.path}, which is {other.effect.value}: check that the worker has that order",
                )  # fmt: skip


def beside(router: Router, template: Any, most: int = 64) -> Iterator[Route]:
    """Routes other than its own that a concrete path would match, a bounded number."""
    stack = [(router.root, 0, True)]
    steps = 0
    while stack and steps < most:
        steps += 1
        node, at, own = stack.pop()
        if at == len(template):
            if not own:
                yield from (node.routes or {}).values()
            continue
        text = template[at].literal
        if text in node.literals:
            stack.append((node.literals[text], at + 1, own))
        if text and node.partials is not None:
            stack.extend((partial, at + 1, False) for partial in node.partials.matching(text))
        if text and node.parameter is not None:
            stack.append((node.parameter, at + 1, False))
