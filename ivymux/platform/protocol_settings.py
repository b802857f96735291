"""Reads and validates a request's terms by the platform's protocol and the settings."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from ivymux.data_plane.frontend import BadRequest
from orchidhill import interface as i
from orchidhill.interface import Effect

CUSTOMER_NUMBER_LIMIT = 1 << 33  # customer numbers are below this
MAX_TERMS_BYTES = 96  # of X-Call-Terms; longer values would also fill the cache
# Headers of the protocol that a request may hold only once.
SINGLE_HEADERS = frozenset(
    b"request-id request-class x-tier request-timeout idempotency-key x-call-terms content-length host"
    b" client-retry".split()
)
TARGET_PATTERN = re.compile(rb"(/[!-\"$->@-~]*)(?:\?([!-\"$-~]*))?")  # no spaces, controls or fragment
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
CUSTOMER_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")
UNITS_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
INTEGER_PATTERN = re.compile(r"\d{1,9}", re.ASCII)


@dataclass(slots=True, frozen=True)
class RequestTerms:
    """The validated terms of a request; `cls` and `plan` are indices into the settings' classes and plans."""

    request_id: bytes
    cls: int
    plan: int
    customer: int
    timeout: float  # seconds
    units: float
    spread: int  # number of gateways that the customer's requests go to
    first: int  # number of the first of these gateways
    is_retry: bool


@functools.lru_cache(maxsize=256)  # there are few distinct values
def parse_call_terms(text: bytes) -> tuple[float, int, int]:
    """Return units, spread and first of X-Call-Terms.  Raises BadRequest."""
    try:
        pairs = [part.split("=", 1) for part in text.decode("ascii").replace(" ", "").split(",")]
        values = {key: value for key, value in pairs}  # noqa: C416  # a part without "=" is a ValueError
        units, spread, first = values["units"], values["spread"], values["first"]
    except (KeyError, ValueError):
        raise BadRequest("malformed X-Call-Terms") from None
    if len(values) != len(pairs) or not (
        UNITS_PATTERN.fullmatch(units)
        and INTEGER_PATTERN.fullmatch(spread)
        and INTEGER_PATTERN.fullmatch(first)
    ):
        raise BadRequest("malformed X-Call-Terms")
    return float(units), int(spread), int(first)


def parse_timeout(text: bytes) -> float:
    """Return Request-Timeout in seconds.  Raises BadRequest."""
    found = TIMEOUT_PATTERN.fullmatch(text)
    if found is None:
        raise BadRequest("malformed Request-Timeout")
    number = float(found[1] + b"." + (found[2] or b"0"))
    return number / (1e3 if found[3] == b"m" else 1e6)


def parse_customer(query: bytes) -> int:
    """Return the customer's number in a query.  Raises BadRequest."""
    # A repeated parameter, even with an escaped name, could be read differently here and at a backend.
    try:
        found = [v for k, v in parse_qsl(query.decode("ascii"), True, max_num_fields=32) if k == "customer"]
    except ValueError:
        raise BadRequest("malformed query") from None
    if (
        len(found) != 1
        or not CUSTOMER_PATTERN.fullmatch(found[0])
        or int(found[0], 16) >= CUSTOMER_NUMBER_LIMIT
    ):
        raise BadRequest("malformed customer")
    return int(found[0], 16)


class TermsReader:
    """Reads the terms of requests by the settings of one gateway."""

    def __init__(self, settings: i.Settings, most_units: float) -> None:
        self.most_units, self.peers = most_units, settings.peers
        self.classes = {cls.name.encode(): (number, cls) for number, cls in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}

    def read(self, method: bytes, target: bytes, fields: list[tuple[bytes, bytes]]) -> RequestTerms:
        """Return the terms of a request.  Raises BadRequest."""
        headers = dict(fields)
        if len(headers) != len(fields):
            self.check_single_headers(fields)
        found = TARGET_PATTERN.fullmatch(target)
        if found is None or (b"/." in found[1] and {b".", b".."} & set(found[1].split(b"/"))):
            raise BadRequest("malformed target")
        name = found[1][1:].partition(b"/")[0]
        if name not in self.classes:
            raise BadRequest("no such class", 404)
        number, cls = self.classes[name]
        if headers.get(b"request-class") != name:
            raise BadRequest("Request-Class is not the path's")
        plan = self.plans.get(headers.get(b"x-tier", b""))
        if plan is None:
            raise BadRequest("no such X-Tier")
        key = headers.get(b"idempotency-key", b"")
        effect = Effect.SAFE if method == b"GET" else Effect.KEYED if key else Effect.UNSAFE
        if (
            method not in (b"GET", b"POST")
            or effect is not cls.effect
            or (key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key))
        ):
            raise BadRequest("the method or Idempotency-Key is not that of the class")
        request_id = headers.get(b"request-id", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequest("malformed Request-Id")
        # The client waits for all its attempts no longer than the deadline of the request's class.
        timeout = min(cls.deadline, parse_timeout(headers.get(b"request-timeout", b"")))
        terms = headers.get(b"x-call-terms", b"")
        if len(terms) > MAX_TERMS_BYTES:
            raise BadRequest("malformed X-Call-Terms")
        units, spread, first = parse_call_terms(terms)
        if not (0 < units <= self.most_units and 0 < spread <= self.peers and first < self.peers):
            raise BadRequest("X-Call-Terms out of range")
        customer = parse_customer(found[2] or b"")
        is_retry = headers.get(b"client-retry") == b"1"
        return RequestTerms(request_id, number, plan, customer, timeout, units, spread, first, is_retry)

    def check_single_headers(self, fields: list[tuple[bytes, bytes]]) -> None:
        """Raise BadRequest if a header of the protocol is repeated.

        A repeated header could be read differently here and at a backend.
        """
        seen = set()
        for name, _ in fields:
            if name in seen and name in SINGLE_HEADERS:
                raise BadRequest("a header stands twice")
            seen.add(name)
