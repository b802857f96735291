"""Who calls: API keys, hashed at rest, each with one customer on one plan.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b, sha256

SCHEME = "sha256:"
MAX_KEY = 256  # bytes of a key
MINT = "iv_"  # what a made key begins with, so that scanners of repositories can find it


class CallerError(ValueError):
    """Keys that can't be taken; the text never holds one."""


@dataclass(frozen=True, slots=True)
class Caller:
    customer: str
    number: int  # the module's id of the customer, the same at every front door
    plan: int

    @property
    def field(self) -> bytes:
        """The customer as a header field's value."""
        return self.customer.encode()


def customer_number(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


def hash_key(key: bytes) -> str:
    """A key as it is kept.  Keys are made with 256 random bits, so a fast hash gives nothing away."""
    return SCHEME + sha256(key).hexdigest()


class Callers:
    """Looks callers up by their keys: by the hash, so that the time says nothing of a key's bytes."""

    def __init__(self, entries: Iterable[tuple[str, str, int]]) -> None:
        """Entries are hash, customer and plan number.  Raises CallerError."""
        self.known: dict[bytes, Caller] = {}
        customers: dict[str, Caller] = {}
        numbers: dict[int, str] = {}
        for place, (hashed, customer, plan) in enumerate(entries):
            digest = hashed.removeprefix(SCHEME)
            if not hashed.startswith(SCHEME) or len(digest) != 64 or set(digest) - set("0123456789abcdef"):
                raise CallerError(f"keys[{place}].hash is no hash of a key: make one with 'ivymux key'")
            caller = customers.setdefault(customer, Caller(customer, customer_number(customer), plan))
            if caller.plan != plan:
                raise CallerError(f"keys[{place}]: the customer {customer!r} has another plan before")
            if numbers.setdefault(caller.number, customer) != customer:
                other = numbers[caller.number]
                raise CallerError(f"keys[{place}]: {customer!r} has the number of {other!r}: rename it")
            if self.known.setdefault(bytes.fromhex(digest), caller) is not caller:
                raise CallerError(f"keys[{place}]: this key is another customer's")

    def find(self, key: bytes) -> Caller | None:
        return self.known.get(sha256(key).digest()) if len(key) <= MAX_KEY else None
