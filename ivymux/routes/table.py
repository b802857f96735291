"""A description in service: its router with each operation's class, key and cost for a request."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from ivymux.routes import override
from ivymux.routes.classes import ClassTable
from ivymux.routes.description import scaled
from ivymux.routes.matcher import NoRoute, Route, Router
from ivymux.routes.model import Compiled, Operation
from ivymux.routes.target import Target
from orchidhill.interface import Effect, RequestClass

AMOUNT = re.compile(r"\d{1,15}(\.\d{1,9})?", re.ASCII)
KEY = re.compile(rb"[!-~]{1,256}")


class BadParameter(ValueError):
    """A parameter that decides the cost or the key, and is malformed."""


@dataclass(slots=True)
class Decision:
    """What a request is handled by."""

    operation: Operation
    cls: int  # the module's number of its class
    effect: Effect
    units: float
    target: Target


class Table:
    """One generation of routes.  A request keeps the generation that it came in with."""

    def __init__(self, compiled: Compiled, classes: ClassTable) -> None:
        self.compiled, self.classes = compiled, classes
        self.router = Router()
        self.numbers: dict[RequestClass, int] = {}

    def build(self) -> Iterator[int]:
        """Fill the router bit by bit; `enter` comes when it is full."""
        yield from self.router.add_all(self.compiled.operations)

    def wanted(self) -> set[RequestClass]:
        """The distinct classes of all operations.  A keyed one's requests without a key are unsafe."""
        found = set()
        for operation in self.distinct().values():
            found.add(self.class_of(operation, operation.effect))
            if operation.effect is Effect.KEYED:
                found.add(self.class_of(operation, Effect.UNSAFE))
        return found

    def distinct(self) -> dict[tuple[str, str, float, float, float], Operation]:
        """One operation for each set of traits: there are few, and many operations."""
        return {traits(operation): operation for operation in self.compiled.operations}

    def class_of(self, operation: Operation, effect: Effect) -> RequestClass:
        return self.classes.make(operation.cls, effect, operation.aim, operation.deadline, operation.worth)

    def enter(self) -> None:
        """Take numbers for the classes.  Raises TooManyClasses, changing nothing."""
        self.numbers = self.classes.put(self.wanted())
        of = {}
        for known, operation in self.distinct().items():
            unsafe = self.numbers.get(self.class_of(operation, Effect.UNSAFE), -1)
            of[known] = self.numbers[self.class_of(operation, operation.effect)], unsafe
        for route in self.router.routes:
            route.class_number, route.keyless_class_number = of[traits(route.operation)]

    def decide(self, method: str, target: bytes, headers: list[tuple[bytes, bytes]]) -> Decision:
        """What a request is handled by.  Raises NoRoute, BadParameter."""
        route, read = self.router.match(method, target)
        operation = route.operation
        for name, _ in headers:
            if name in override.HEADERS and name.decode() not in operation.overrides:
                raise BadParameter(f"{name.decode()} is not served: it would hide the method")
        if read.query and (found := override.in_query(read.query)) and found not in operation.overrides:
            raise BadParameter("a query parameter that overrides the method is not served")
        number, effect = route.class_number, operation.effect
        if effect is Effect.KEYED and not has_key(operation, read, headers):
            number, effect = route.keyless_class_number, Effect.UNSAFE
        units = operation.cost.amount if not operation.cost.source else cost(route, read, headers)
        return Decision(operation, number, effect, units, read)


def traits(operation: Operation) -> tuple[str, str, float, float, float]:
    return operation.cls, operation.effect.value, operation.aim, operation.deadline, operation.worth


def has_key(operation: Operation, target: Target, headers: list[tuple[bytes, bytes]]) -> bool:
    """Whether a keyed request carries its key.  Raises BadParameter for one that could be read two ways."""
    key = operation.key
    assert key is not None
    if key.source == "header":
        name = key.name.lower().encode()
        found = [value for header, value in headers if header == name]
    else:
        found = [value.encode() for value in override.values(target.query, key.name)]
    if len(found) > 1:
        raise BadParameter(f"the key {key.name} stands twice")
    if not found or not found[0]:
        return False
    if not KEY.fullmatch(found[0]):
        raise BadParameter(f"the key {key.name} is not 1 to 256 visible characters")
    return True


def cost(route: Route, target: Target, headers: list[tuple[bytes, bytes]]) -> float:
    """Units by a parameter.  Raises BadParameter: a worker may read it in its own way, and do more."""
    rule = route.operation.cost
    if rule.source == "query":
        found = override.values(target.query, rule.name)
    elif rule.source == "header":
        name = rule.name.encode()
        found = [value.decode("latin-1") for header, value in headers if header == name]
    else:
        value = route.parameter(rule.name, target.segments)
        found = [value] if value is not None else []
    if not found:
        return rule.amount
    if len(found) > 1:
        raise BadParameter(f"{rule.name} stands twice")
    if not AMOUNT.fullmatch(found[0]):
        raise BadParameter(f"{rule.name} is not a number")
    return scaled(rule, float(found[0]))


__all__ = ["BadParameter", "Decision", "NoRoute", "Table"]
