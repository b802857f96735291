"""Finds the operation for a method and a target in a tree of path segments, without scanning routes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ivymux.routes.model import Operation
from ivymux.routes.target import Target, TargetError, parse_target
from ivymux.routes.template import Segment, TemplateError, parse_template

ADDS_PER_YIELD = 32  # operations that `add_all` adds without yielding, about 1 ms of work


class NoRoute(LookupError):
    """No operation matches a request; `status` is 400, 404 or 405, and `allow` has the methods for a 405."""

    def __init__(self, status: int, text: str, allow: tuple[str, ...] = ()) -> None:
        super().__init__(text)
        self.status, self.allow = status, allow


@dataclass(slots=True)
class Route:
    """One operation and the template that its targets match.

    The class numbers are those of the decision module's list; `Table.assign_class_numbers` sets them.
    """

    operation: Operation
    template: tuple[Segment, ...]
    class_number: int = -1
    keyless_class_number: int = -1  # for requests of a keyed operation that carry no key

    def parameter(self, name: str, segments: list[str]) -> str | None:
        """Return the value of a path parameter in a target that matched this route."""
        for segment, text in zip(self.template, segments, strict=True):
            if name in segment.names:
                values = segment.match(text)
                return values[segment.names.index(name)] if values else None
        return None


@dataclass(slots=True)
class PartialSegments:
    """The child nodes for segments that are literal in part.

    They are indexed by their first and last literal, grouped by the lengths of both, so that a search costs
    one lookup for each distinct pair of lengths.
    """

    by_lengths: dict[tuple[int, int], dict[tuple[str, str], list[tuple[Segment, Node]]]] = field(
        default_factory=dict
    )

    def add(self, segment: Segment) -> Node:
        """Return the node of a segment, added if absent; names of parameters do not distinguish segments."""
        first, last = segment.literals[0], segment.literals[-1]
        ends = self.by_lengths.setdefault((len(first), len(last)), {}).setdefault((first, last), [])
        for known, node in ends:
            if known.literals == segment.literals:
                return node
        ends.append((segment, Node()))
        return ends[-1][1]

    def matching(self, text: str) -> list[Node]:
        """Return the nodes of all segments that match, those with the longest literals first."""
        found = []
        for (first, last), ends in self.by_lengths.items():
            if first + last <= len(text):
                for segment, node in ends.get((text[:first], text[len(text) - last :]), ()):
                    if segment.match(text) is not None:
                        found.append((-sum(map(len, segment.literals)), -first, segment.literals, node))
        if len(found) > 1:
            found.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in found]


@dataclass(slots=True)
class Node:
    """A node of the tree; each edge to a child is a segment of a template."""

    literals: dict[str, Node] = field(default_factory=dict)
    casefolded: dict[str, str] = field(default_factory=dict)  # literals by their case-folded form
    partials: PartialSegments | None = None
    parameter: Node | None = None
    routes: dict[str, Route] | None = None  # by method, if a template ends here

    def add_child(self, segment: Segment) -> Node:
        """Return the child for a segment, added if absent."""
        literal = segment.literal
        if literal is not None:
            self.casefolded.setdefault(literal.casefold(), literal)
            return self.literals.setdefault(literal, Node())
        if segment.is_parameter:
            if self.parameter is None:
                self.parameter = Node()
            return self.parameter
        if self.partials is None:
            self.partials = PartialSegments()
        return self.partials.add(segment)


class Clash(ValueError):
    """Two operations have the same method, and templates that match the same targets."""

    def __init__(self, new: Operation, old: Operation) -> None:
        super().__init__(f"{new.method} {new.path} conflicts with {old.method} {old.path}")
        self.new, self.old = new, old


class Router:
    """Matches requests to the operations of one description.

    Segments are compared from the left; a literal segment takes precedence over one with parameters.
    """

    def __init__(self) -> None:
        self.root = Node()
        self.routes: list[Route] = []

    @property
    def size(self) -> int:
        return len(self.routes)

    @classmethod
    def from_operations(cls, operations: Iterable[Operation]) -> Router:
        """Build the router of all operations at once.  Raises TemplateError, Clash."""
        router = cls()
        for _ in router.add_all(operations):
            pass
        return router

    def add_all(self, operations: Iterable[Operation]) -> Iterator[int]:
        """Add operations, yielding after every few so that a serving process is not blocked."""
        for operation in operations:
            self.add(operation)
            if len(self.routes) % ADDS_PER_YIELD == 0:
                yield len(self.routes)

    def add(self, operation: Operation) -> dict[str, Route]:
        """Add one operation; return its template's routes by method.  Raises TemplateError, Clash."""
        template = parse_template(operation.path)
        node = self.root
        for segment in template:
            node = node.add_child(segment)
        if node.routes is None:
            node.routes = {}
        known = node.routes.get(operation.method)
        if known is not None:
            raise Clash(operation, known.operation)
        node.routes[operation.method] = route = Route(operation, template)
        self.routes.append(route)
        return node.routes

    def match(self, method: str, target: bytes) -> tuple[Route, Target]:
        """Find the route of a request.  Raises NoRoute.

        A HEAD that is not described uses the route of its GET: a backend runs the same code for both, so
        the class and the effect are the same.
        """
        try:
            parsed = parse_target(target)
        except TargetError as error:
            raise NoRoute(400, str(error)) from None
        routes = self.find_routes(self.root, parsed.segments, 0)
        if routes is None:
            raise NoRoute(404, "no such path in the description")
        route = routes.get(method)
        if route is None:
            route = routes.get("GET") if method == "HEAD" else None
            if route is None:
                raise NoRoute(405, "the description has no such method here", allowed(routes))
        return route, parsed

    def find_routes(self, node: Node, segments: list[str], position: int) -> dict[str, Route] | None:
        """Find the routes of the first template that matches, trying the most literal child first."""
        length = len(segments)
        while position < length:
            text = segments[position]
            position += 1
            child = node.literals.get(text)
            if node.parameter is None and node.partials is None:
                if child is None:
                    return None
                node = child
                continue
            if child is not None:
                found = self.find_routes(child, segments, position)
                if found is not None:
                    return found
            elif node.casefolded and (described := node.casefolded.get(text.casefold())) is not None:
                # A backend that ignores case would run the other operation.
                raise NoRoute(404, f"differs from {described!r} in the description only in case")
            if not text:
                return None  # parameters are never empty
            if node.partials is not None:
                for partial in node.partials.matching(text):
                    found = self.find_routes(partial, segments, position)
                    if found is not None:
                        return found
            if node.parameter is None:
                return None
            node = node.parameter
        return node.routes


def allowed(routes: dict[str, Route]) -> tuple[str, ...]:
    """Return the methods for an Allow header."""
    methods = set(routes) | ({"HEAD"} if "GET" in routes else set()) | {"OPTIONS"}
    return tuple(sorted(methods))


__all__ = ["Clash", "NoRoute", "Route", "Router", "TemplateError", "allowed"]
