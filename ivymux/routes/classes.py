"""Numbers the request classes of a decision module, whose set changes while requests are open."""

from __future__ import annotations

from orchidhill.interface import Effect, RequestClass, Scope

MAX_CLASSES = 4096  # in use at once; the decision module keeps state for each


class TooManyClasses(ValueError):
    """A description has more distinct classes than MAX_CLASSES."""


class ClassTable:
    """The decision module's list of classes; a class's number is its index.

    A number belongs to its class while the current description uses the class, or a request of the class is
    open.  After that it may be reused for another class.
    """

    def __init__(self, key_memory: float, scope: Scope) -> None:
        self.key_memory, self.scope = key_memory, scope
        self.class_list: list[RequestClass] = []
        self.numbers: dict[RequestClass, int] = {}
        self.open_requests: list[int] = []  # how many requests of each number are open
        self.current_numbers: set[int] = set()

    def request_class(
        self, name: str, effect: Effect, aim: float, deadline: float, worth: float
    ) -> RequestClass:
        """Return the class of operations with these traits; times are in seconds."""
        keyed = effect is Effect.KEYED
        return RequestClass(
            name, aim, deadline, effect, self.scope, self.key_memory if keyed else 0.0, worth, 0.0, False
        )

    def replace_current(self, classes: set[RequestClass]) -> dict[RequestClass, int]:
        """Make these the current classes and return their numbers.

        Raises TooManyClasses, and then changes nothing.
        """
        wanted = sorted(classes, key=repr)
        kept_numbers = {self.numbers[cls] for cls in wanted if cls in self.numbers}
        free_numbers = [
            n for n in range(len(self.class_list)) if not self.open_requests[n] and n not in kept_numbers
        ]
        new_classes = [cls for cls in wanted if cls not in self.numbers]
        if len(self.class_list) - len(free_numbers) + len(new_classes) > MAX_CLASSES:
            raise TooManyClasses(
                f"over {MAX_CLASSES} distinct classes: let operations share class, aim, deadline and worth"
            )
        free_numbers.reverse()
        for cls in new_classes:
            if free_numbers:
                number = free_numbers.pop()
                del self.numbers[self.class_list[number]]
                self.class_list[number] = cls
            else:
                number = len(self.class_list)
                self.class_list.append(cls)
                self.open_requests.append(0)
            self.numbers[cls] = number
        self.current_numbers = {self.numbers[cls] for cls in wanted}
        return {cls: self.numbers[cls] for cls in wanted}

    def hold(self, number: int) -> None:
        """Reserve a number for a request that is open with it."""
        self.open_requests[number] += 1

    def release(self, number: int) -> None:
        """Undo one `hold` of a number."""
        self.open_requests[number] -= 1
