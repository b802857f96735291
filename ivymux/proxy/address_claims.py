"""Which of several backends an address belongs to.  Pure.

A backend that crashes says nothing, and its address may be given to another one, or to its own successor,
before its silence is noticed.  What is learned of it afterwards must not take the address back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable


class AddressClaims:
    """The backends that were seen at each address, in the order in which they were first seen there."""

    def __init__(self) -> None:
        self.claimants: dict[str, list[str]] = {}  # ids by address

    def claim(self, backend: str, address: str) -> None:
        """Note that a backend is at an address from now on; it is the newest there."""
        self.claimants.setdefault(address, []).append(backend)

    def release(self, backend: str, address: str) -> None:
        """Note that a backend is no longer at an address."""
        claimants = self.claimants.get(address, [])
        if backend in claimants:
            claimants.remove(backend)
        if not claimants:
            self.claimants.pop(address, None)

    def at(self, address: str) -> Iterable[str]:
        """Return the backends at an address, the newest last."""
        return self.claimants.get(address, ())

    def holder(self, address: str, is_serving: Callable[[str], bool]) -> str | None:
        """Return the backend to which an address belongs; None if there is none.

        The newest that serves, or, where none does, the newest of all.
        """
        claimants = self.claimants.get(address, [])
        serving = [backend for backend in claimants if is_serving(backend)]
        return next(reversed(serving or claimants), None)
