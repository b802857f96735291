"""Decides a request's operation, class, effect and cost by the routes of a compiled description."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from ivymux.routes import override
from ivymux.routes.classes import ClassTable
from ivymux.routes.description import cost_units
from ivymux.routes.matcher import NoRoute, Route, Router
from ivymux.routes.model import CompiledDescription, Operation
from ivymux.routes.target import Target
from orchidhill.interface import Effect, RequestClass

AMOUNT = re.compile(r"\d{1,15}(\.\d{1,9})?", re.ASCII)  # a parameter from which a cost is computed
KEY = re.compile(rb"[!-~]{1,256}")  # an idempotency key


class BadParameter(ValueError):
    """A parameter that determines the cost, the key or the method is malformed or not allowed."""


@dataclass(slots=True)
class Decision:
    """How a request is handled."""

    operation: Operation
    cls: int  # the decision module's number of its class
    effect: Effect
    units: float
    target: Target


class Table:
    """The routes of one compiled description.  A request keeps the table that it arrived under."""

    def __init__(self, compiled: CompiledDescription, classes: ClassTable) -> None:
        self.compiled, self.classes = compiled, classes
        self.router = Router()
        self.class_numbers: dict[RequestClass, int] = {}

    def build(self) -> Iterator[int]:
        """Fill the router, yielding regularly; call `assign_class_numbers` when it is complete."""
        yield from self.router.add_all(self.compiled.operations)

    def required_classes(self) -> set[RequestClass]:
        """Return the distinct classes of all operations.

        A keyed operation has two: its requests without a key are unsafe.
        """
        found = set()
        for operation in self.distinct_operations().values():
            found.add(self.class_of(operation, operation.effect))
            if operation.effect is Effect.KEYED:
                found.add(self.class_of(operation, Effect.UNSAFE))
        return found

    def distinct_operations(self) -> dict[tuple[str, str, float, float, float], Operation]:
        """Return one operation for each distinct set of traits.

        Classes depend on the traits only, and there are far fewer sets of traits than operations.
        """
        return {class_traits(operation): operation for operation in self.compiled.operations}

    def class_of(self, operation: Operation, effect: Effect) -> RequestClass:
        """Return the class of an operation's requests that have this effect."""
        return self.classes.request_class(
            operation.cls, effect, operation.aim, operation.deadline, operation.worth
        )

    def assign_class_numbers(self) -> None:
        """Assign numbers to the classes.  Raises TooManyClasses, and then changes nothing."""
        self.class_numbers = self.classes.replace_current(self.required_classes())
        numbers_by_traits = {}
        for traits, operation in self.distinct_operations().items():
            unsafe = self.class_numbers.get(self.class_of(operation, Effect.UNSAFE), -1)
            numbers_by_traits[traits] = self.class_numbers[self.class_of(operation, operation.effect)], unsafe
        for route in self.router.routes:
            route.class_number, route.keyless_class_number = numbers_by_traits[class_traits(route.operation)]

    def decide(self, method: str, target: bytes, headers: list[tuple[bytes, bytes]]) -> Decision:
        """Decide how a request is handled.  Raises NoRoute, BadParameter."""
        route, parsed = self.router.match(method, target)
        operation = route.operation
        for name, _ in headers:
            if name in override.HEADERS and name.decode() not in operation.overrides:
                raise BadParameter(f"{name.decode()} is not served: it would hide the method")
        if (
            parsed.query
            and (found := override.find_in_query(parsed.query))
            and found not in operation.overrides
        ):
            raise BadParameter("a query parameter that overrides the method is not served")
        number, effect = route.class_number, operation.effect
        if effect is Effect.KEYED and not has_key(operation, parsed, headers):
            number, effect = route.keyless_class_number, Effect.UNSAFE
        units = operation.cost.amount if not operation.cost.source else request_cost(route, parsed, headers)
        return Decision(operation, number, effect, units, parsed)


def class_traits(operation: Operation) -> tuple[str, str, float, float, float]:
    """Return the properties of an operation that determine its request class."""
    return operation.cls, operation.effect.value, operation.aim, operation.deadline, operation.worth


def has_key(operation: Operation, target: Target, headers: list[tuple[bytes, bytes]]) -> bool:
    """Whether a request of a keyed operation carries an idempotency key.

    Raises BadParameter if it carries several keys or an invalid one.
    """
    key = operation.key
    assert key is not None
    if key.source == "header":
        name = key.name.lower().encode()
        found = [value for header, value in headers if header == name]
    else:
        found = [value.encode() for value in override.query_values(target.query, key.name)]
    if len(found) > 1:
        raise BadParameter(f"the key {key.name} stands twice")
    if not found or not found[0]:
        return False
    if not KEY.fullmatch(found[0]):
        raise BadParameter(f"the key {key.name} is not 1 to 256 visible characters")
    return True


def request_cost(route: Route, target: Target, headers: list[tuple[bytes, bytes]]) -> float:
    """Compute the units that a request costs from the parameter that its operation names.

    Raises BadParameter for a malformed parameter: a backend may read it differently and do more work.
    """
    cost = route.operation.cost
    if cost.source == "query":
        found = override.query_values(target.query, cost.name)
    elif cost.source == "header":
        name = cost.name.encode()
        found = [value.decode("latin-1") for header, value in headers if header == name]
    else:
        value = route.parameter(cost.name, target.segments)
        found = [value] if value is not None else []
    if not found:
        return cost.amount
    if len(found) > 1:
        raise BadParameter(f"{cost.name} stands twice")
    if not AMOUNT.fullmatch(found[0]):
        raise BadParameter(f"{cost.name} is not a number")
    return cost_units(cost, float(found[0]))


__all__ = ["BadParameter", "Decision", "NoRoute", "Table"]
