"""API keys: stored as hashes, each of one customer on one plan.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b, sha256

HASH_SCHEME = "sha256:"
MAX_KEY_BYTES = 256
KEY_PREFIX = "iv_"  # of generated keys, so that secret scanners of repositories can find them


class CallerError(ValueError):
    """Invalid entries of keys; the text never holds a key."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The customer that an API key belongs to, for whom requests with the key are made."""

    customer: str
    number: int  # the decision module's id of the customer, the same at every gateway
    plan: int  # index into the site's plans

    @property
    def header_value(self) -> bytes:
        """The customer's name as the value of a header field."""
        return self.customer.encode()


def customer_number(name: str) -> int:
    """Return a customer's id, a hash of its name, so that gateways need not agree on numbers."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


def hash_key(key: bytes) -> str:
    """Return a key's stored form.

    A fast hash is enough: keys have 256 random bits, so they can't be guessed from it.
    """
    return HASH_SCHEME + sha256(key).hexdigest()


class Callers:
    """Finds callers by their keys, comparing hashes: the time taken reveals nothing of a key's bytes."""

    def __init__(self, entries: Iterable[tuple[str, str, int]]) -> None:
        """Each entry is a hash, a customer and the index of its plan.  Raises CallerError."""
        self.callers_by_digest: dict[bytes, Caller] = {}
        customers: dict[str, Caller] = {}
        numbers: dict[int, str] = {}
        for index, (hashed, customer, plan) in enumerate(entries):
            digest = hashed.removeprefix(HASH_SCHEME)
            if (
                not hashed.startswith(HASH_SCHEME)
                or len(digest) != 64
                or set(digest) - set("0123456789abcdef")
            ):
                raise CallerError(f"keys[{index}].hash is no hash of a key: make one with 'ivymux key'")
            caller = customers.setdefault(customer, Caller(customer, customer_number(customer), plan))
            if caller.plan != plan:
                raise CallerError(
                    f"keys[{index}]: the customer {customer!r} has another plan in an entry before"
                )
            if numbers.setdefault(caller.number, customer) != customer:
                other = numbers[caller.number]
                raise CallerError(f"keys[{index}]: {customer!r} has the same number as {other!r}: rename it")
            if self.callers_by_digest.setdefault(bytes.fromhex(digest), caller) is not caller:
                raise CallerError(f"keys[{index}]: this key is another customer's")

    def find(self, key: bytes) -> Caller | None:
        return self.callers_by_digest.get(sha256(key).digest()) if len(key) <= MAX_KEY_BYTES else None
