"""Numbers for request classes that change while requests are open."""

from __future__ import annotations

from orchidhill.interface import Effect, RequestClass, Scope

MAX_CLASSES = 4096  # in use at once; the module keeps some state for each


class TooManyClasses(ValueError):
    """A description with more distinct classes than are kept."""


class ClassTable:
    """The module's list of classes.

    A number stays with its class while the current description names it or a request that came in with it
    is open; then another class may have it.
    """

    def __init__(self, memory: float, scope: Scope) -> None:
        self.memory, self.scope = memory, scope
        self.listed: list[RequestClass] = []
        self.numbers: dict[RequestClass, int] = {}
        self.held: list[int] = []  # open requests of each
        self.current: set[int] = set()

    def make(self, name: str, effect: Effect, aim: float, deadline: float, worth: float) -> RequestClass:
        keyed = effect is Effect.KEYED
        return RequestClass(
            name, aim, deadline, effect, self.scope, self.memory if keyed else 0.0, worth, 0.0, False
        )

    def put(self, classes: set[RequestClass]) -> dict[RequestClass, int]:
        """Go over to a new description's classes; their numbers.  TooManyClasses changes nothing."""
        wanted = sorted(classes, key=repr)
        kept = {self.numbers[cls] for cls in wanted if cls in self.numbers}
        free = [n for n in range(len(self.listed)) if not self.held[n] and n not in kept]
        new = [cls for cls in wanted if cls not in self.numbers]
        if len(self.listed) - len(free) + len(new) > MAX_CLASSES:
            raise TooManyClasses(
                f"over {MAX_CLASSES} distinct classes: let operations share class, aim, deadline and worth"
            )
        free.reverse()
        for cls in new:
            if free:
                number = free.pop()
                del self.numbers[self.listed[number]]
                self.listed[number] = cls
            else:
                number = len(self.listed)
                self.listed.append(cls)
                self.held.append(0)
            self.numbers[cls] = number
        self.current = {self.numbers[cls] for cls in wanted}
        return {cls: self.numbers[cls] for cls in wanted}

    def hold(self, number: int) -> None:
        self.held[number] += 1

    def release(self, number: int) -> None:
        self.held[number] -= 1
