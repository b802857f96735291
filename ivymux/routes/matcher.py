"""From a method and a target to an operation: a tree of segments, compiled once, with no scan over routes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ivymux.routes.model import Operation
from ivymux.routes.target import Target, TargetError, read_target
from ivymux.routes.template import Segment, TemplateError, parse_template

STEP = 32  # operations that are put in before another has its turn: a millisecond's work


class NoRoute(LookupError):
    """A request that no operation takes; `status` is 400, 404 or 405, the last with what is allowed."""

    def __init__(self, status: int, text: str, allow: tuple[str, ...] = ()) -> None:
        super().__init__(text)
        self.status, self.allow = status, allow


@dataclass(slots=True)
class Route:
    """One operation at its place, with where its parameters stand in a target."""

    operation: Operation
    template: tuple[Segment, ...]
    number: int = -1  # the module's number of its class, once the table is in service
    unsafe: int = -1  # and of that for a keyed one without its key

    def parameter(self, name: str, segments: list[str]) -> str | None:
        """A path parameter's value in a target that this route took."""
        for segment, text in zip(self.template, segments, strict=True):
            if name in segment.names:
                values = segment.values(text)
                return values[segment.names.index(name)] if values else None
        return None


@dataclass(slots=True)
class Partials:
    """Segments that are literal in part, found by the lengths of their ends: one look for each pair."""

    by_lengths: dict[tuple[int, int], dict[tuple[str, str], list[tuple[Segment, Node]]]] = field(
        default_factory=dict
    )

    def node(self, segment: Segment) -> Node:
        """The node behind a segment; parameters' names do not tell segments apart."""
        first, last = segment.literals[0], segment.literals[-1]
        ends = self.by_lengths.setdefault((len(first), len(last)), {}).setdefault((first, last), [])
        for known, node in ends:
            if known.literals == segment.literals:
                return node
        ends.append((segment, Node()))
        return ends[-1][1]

    def fitting(self, text: str) -> list[Node]:
        """The nodes behind all that fit, the most literal one first."""
        found = []
        for (first, last), ends in self.by_lengths.items():
            if first + last <= len(text):
                for segment, node in ends.get((text[:first], text[len(text) - last :]), ()):
                    if segment.values(text) is not None:
                        found.append((-sum(map(len, segment.literals)), -first, segment.literals, node))
        if len(found) > 1:
            found.sort(key=lambda entry: entry[:3])
        return [entry[3] for entry in found]


@dataclass(slots=True)
class Node:
    literals: dict[str, Node] = field(default_factory=dict)
    folded: dict[str, str] = field(default_factory=dict)  # literals in lower case, as they are written
    partials: Partials | None = None
    parameter: Node | None = None
    routes: dict[str, Route] | None = None  # by method, where a template ends here

    def child(self, segment: Segment) -> Node:
        literal = segment.literal
        if literal is not None:
            self.folded.setdefault(literal.casefold(), literal)
            return self.literals.setdefault(literal, Node())
        if segment.whole:
            if self.parameter is None:
                self.parameter = Node()
            return self.parameter
        if self.partials is None:
            self.partials = Partials()
        return self.partials.node(segment)


class Clash(ValueError):
    """Two operations with one method at one place."""

    def __init__(self, new: Operation, old: Operation) -> None:
        super().__init__(f"{new.method} {new.path} stands where {old.method} {old.path} does")
        self.new, self.old = new, old


class Router:
    """All operations of one description.  Concrete segments go before templated ones, from the left."""

    def __init__(self) -> None:
        self.root = Node()
        self.routes: list[Route] = []

    @property
    def size(self) -> int:
        return len(self.routes)

    @classmethod
    def of(cls, operations: Iterable[Operation]) -> Router:
        router = cls()
        for _ in router.fill(operations):
            pass
        return router

    def fill(self, operations: Iterable[Operation]) -> Iterator[int]:
        """Put operations in, yielding now and then so that a serving process can do so bit by bit."""
        for operation in operations:
            self.add(operation)
            if len(self.routes) % STEP == 0:
                yield len(self.routes)

    def add(self, operation: Operation) -> dict[str, Route]:
        """Put one operation in; the routes of its place.  Raises TemplateError or Clash."""
        template = parse_template(operation.path)
        node = self.root
        for segment in template:
            node = node.child(segment)
        if node.routes is None:
            node.routes = {}
        known = node.routes.get(operation.method)
        if known is not None:
            raise Clash(operation, known.operation)
        node.routes[operation.method] = route = Route(operation, template)
        self.routes.append(route)
        return node.routes

    def match(self, method: str, target: bytes) -> tuple[Route, Target]:
        """The route that takes a request.  Raises NoRoute.

        A HEAD that is not described is its GET's: a worker runs the same code for it, so it has that
        class and that effect.
        """
        try:
            read = read_target(target)
        except TargetError as error:
            raise NoRoute(400, str(error)) from None
        routes = self.find(self.root, read.segments, 0)
        if routes is None:
            raise NoRoute(404, "no such path in the description")
        route = routes.get(method)
        if route is None:
            route = routes.get("GET") if method == "HEAD" else None
            if route is None:
                raise NoRoute(405, "the description has no such method here", allowed(routes))
        return route, read

    def find(self, node: Node, segments: list[str], at: int) -> dict[str, Route] | None:
        """The first place that fits, the more literal one first at each segment."""
        most = len(segments)
        while at < most:
            text = segments[at]
            at += 1
            child = node.literals.get(text)
            if node.parameter is None and node.partials is None:
                if child is None:
                    return None
                node = child
                continue
            if child is not None:
                found = self.find(child, segments, at)
                if found is not None:
                    return found
            elif node.folded and (spelt := node.folded.get(text.casefold())) is not None:
                # A worker that ignores case would take the other operation.
                raise NoRoute(404, f"differs from {spelt!r} in the description only in case")
            if not text:
                return None  # parameters are never empty
            if node.partials is not None:
                for partial in node.partials.fitting(text):
                    found = self.find(partial, segments, at)
                    if found is not None:
                        return found
            if node.parameter is None:
                return None
            node = node.parameter
        return node.routes


def allowed(routes: dict[str, Route]) -> tuple[str, ...]:
    """The methods for an Allow header."""
    methods = set(routes) | ({"HEAD"} if "GET" in routes else set()) | {"OPTIONS"}
    return tuple(sorted(methods))


__all__ = ["Clash", "NoRoute", "Route", "Router", "TemplateError", "allowed"]
