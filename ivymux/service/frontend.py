"""Ordinary HTTP at a front door: routes by description, callers by key, answers as the workers gave them."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from functools import lru_cache, partial
from ipaddress import ip_address, ip_network
from typing import Protocol
from urllib.parse import unquote_plus

from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.routes import override
from ivymux.routes.matcher import NoRoute
from ivymux.routes.table import BadParameter, Table
from ivymux.service.callers import Caller
from ivymux.service.headers import (
    ANSWER_OWN,
    BODILESS_ANSWER_OWN,
    FORWARDED,
    REQUEST_OWN,
    answer_fields,
    forwarded,
    passing,
)  # fmt: skip
from ivymux.service.problem import MAY_HAVE_RUN, NOT_RUN, REASONS, TYPE, problem
from orchidhill import interface as i
from orchidhill.interface import Effect

READY = b"/-/ready"
REQUEST_ID = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-"
HOST = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-:[]"
NO_BODY = frozenset((b"GET", b"HEAD", b"OPTIONS", b"TRACE", b"DELETE"))  # need no Content-Length for none


@lru_cache(maxsize=4096)
def forwarded_alone(peer_address: str, host: bytes) -> bytes:
    """The fields for a client that is no trusted proxy; there are few peers and hosts."""
    return forwarded(peer_address, host, [])


class Finds(Protocol):
    """Whose a key is."""

    def find(self, key: bytes) -> Caller | None: ...


class HttpFrontend:
    """One standalone front door's requests and answers."""

    header_too_large_status = 400
    allows_half_close = True
    closes_after_refusal = False

    def __init__(
        self, table: Table, callers: Finds, key_header: str, plans: tuple[i.Plan, ...], peers: int,
        most_body: int, most_unread: int, trusted: tuple[str, ...], ready: Callable[[], bool],
        make_id: Callable[[], str],
    ) -> None:  # fmt: skip
        self.table, self.callers, self.ready, self.make_id = table, callers, ready, make_id
        self.key_header = key_header.lower().encode()
        self.own = REQUEST_OWN | FORWARDED | {self.key_header}
        self.plans, self.peers = plans, peers
        self.max_body_bytes, self.max_unread_clients = most_body, most_unread
        networks = [ip_network(text) for text in trusted]

        @lru_cache(maxsize=4096)
        def trusts(peer_address: str) -> bool:
            try:
                address = ip_address(peer_address)
            except ValueError:
                return False
            return any(address in network for network in networks)

        self.trusts = trusts
        self.counts: dict[int, int] = {}  # refusals at the door, by status

    def answer_locally(self, target: bytes) -> Answer | None:
        if target != READY:
            return None
        return Answer(200, b"ready\n", b"text/plain") if self.ready() else Answer(503, retry_after=1.0)

    # --- requests ------------------------------------------------------------------------------------

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: list[bytes],
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        return self.take_of(None, method, target, headers, body, received_at, peer_address)

    def take_of(
        self, caller: Caller | None, method: bytes, target: bytes, headers: Headers, body: list[bytes],
        received_at: float, peer_address: str,
    ) -> Call | Answer:  # fmt: skip
        """A request whose caller is known already, or (None) told by its headers."""
        host = self.host(headers)
        fields = passing(headers, self.own)
        try:
            decision = self.table.decide(method.decode("ascii"), target, fields)
        except NoRoute as error:
            return self.unrouted(method, target, error)
        except BadParameter as error:
            raise BadRequest(str(error)) from None
        content = b"".join(body)
        operation, read = decision.operation, decision.target
        if operation.effect is not Effect.UNSAFE and content:
            self.check_form(fields, content, operation.overrides)
        if caller is None:
            caller = self.caller(headers)
        plan = self.plans[caller.plan]
        units = decision.units
        if (plan.rate > 0 and units > plan.burst) or (plan.ceiling_rate > 0 and units > plan.ceiling_burst):
            raise BadRequest(
                f"it costs {units:g} units, more than the plan {plan.name} ever holds at once", 403
            )
        host = read.authority or host
        request_id = self.request_id(headers)
        sent = read.path if read.query is None else read.path + b"?" + read.query
        if self.trusts(peer_address):
            set_here = forwarded(peer_address, host, [p for p in headers if p[0] in FORWARDED])
        else:
            set_here = forwarded_alone(peer_address, host)
        head = b"%s %s HTTP/1.1\r\nhost: %s\r\n%s%srequest-id: %s\r\nivymux-customer: %s\r\n" % (
            method, sent, host, b"".join([b"%s: %s\r\n" % pair for pair in fields]), set_here, request_id,
            caller.field,
        )  # fmt: skip
        if content or method not in NO_BODY:
            head += b"content-length: %d\r\n" % len(content)
        end = received_at + operation.deadline
        classes, number = self.table.classes, decision.cls

        def payload(left: float) -> bytes:
            return b"%srequest-timeout: %dm\r\n\r\n%s" % (head, max(1, int(left * 1000)), content)

        def make(request: int) -> i.Request:
            return i.Request(
                request, number, caller.plan, caller.number, end - time.monotonic(), units, self.peers, 0,
                False, decision.effect is not Effect.SAFE,
            )  # fmt: skip

        classes.hold(number)
        return Call(
            b"", end, make, payload, method == b"HEAD", request_id, partial(classes.release, number),
            on_departure=OnDeparture.for_request(decision.effect is Effect.SAFE),
        )  # fmt: skip

    def host(self, headers: Headers) -> bytes:
        found = b""
        for name, value in headers:
            if name == b"host":
                if found:
                    raise BadRequest("a request has one Host")
                found = value
            elif name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise BadRequest("only the chunked transfer coding is served", 501)
        if not found or found.translate(None, HOST):
            raise BadRequest("a request has one Host of plain letters")
        return found

    def request_id(self, headers: Headers) -> bytes:
        for name, value in headers:
            if name == b"request-id" and 0 < len(value) <= 64 and not value.translate(None, REQUEST_ID):
                return value
        return self.make_id().encode()

    def caller(self, headers: Headers) -> Caller:
        found = [value for name, value in headers if name == self.key_header]
        if len(found) == 1:
            key = found[0]
            if self.key_header == b"authorization":
                scheme, _, key = key.partition(b" ")
                key = key.strip() if scheme.lower() == b"bearer" else b""
            if key and (caller := self.callers.find(key)) is not None:
                return caller
        scheme = b"Bearer" if self.key_header == b"authorization" else b"ApiKey"
        told = "no key that is known" if found else f"the header {self.key_header.decode()} holds no key"
        raise BadRequest(told, 401, [(b"WWW-Authenticate", scheme + b' realm="ivymux"')])

    def check_form(self, fields: Headers, content: bytes, allowed_names: tuple[str, ...]) -> None:
        """A form's field may override the method as a query's may."""
        for name, value in fields:
            if name == b"content-type" and value.strip().lower().startswith(override.FORM):
                found = override.find_in_query(content)
                if found and unquote_plus(found) not in allowed_names:
                    raise BadRequest("a form field that overrides the method is not served")

    def unrouted(self, method: bytes, target: bytes, error: NoRoute) -> Answer:
        if error.status != 405:
            raise BadRequest(str(error), error.status)
        allow = [(b"Allow", ", ".join(error.allow).encode())]
        if method == b"OPTIONS":
            return Answer(204, extra_headers=allow)
        raise BadRequest(f"{error}; it has {', '.join(error.allow)}", 405, allow)

    # --- answers -------------------------------------------------------------------------------------

    def refusal(self, error: BadRequest) -> Answer:
        self.counts[error.status] = self.counts.get(error.status, 0) + 1
        return refusal(error)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> bytes:
        return encode(answer, close, call)


def refusal(error: BadRequest) -> Answer:
    """What a client is told of what could not be taken."""
    wait = 1.0 if error.status in (429, 503) else 0.0
    return Answer(
        error.status, problem(error.status, str(error), ""), TYPE, wait, extra_headers=error.headers
    )


def encode(answer: Answer, close: bool, call: Call | None) -> bytes:
    """An answer as ordinary clients know them."""
    head = call is not None and call.is_head
    status, body = answer.status, answer.body
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
    if answer.headers is not None:
        if head or status == 304:
            lines += [b"%s: %s\r\n" % p for p in answer_fields(answer.headers, BODILESS_ANSWER_OWN)]
        else:
            lines += [b"%s: %s\r\n" % p for p in answer_fields(answer.headers, ANSWER_OWN)]
            if status != 204:
                lines.append(b"content-length: %d\r\n" % len(body))
    else:
        content_type = answer.content_type
        if not body and status >= 400:
            content_type = TYPE
            told = NOT_RUN if status in (429, 503) else MAY_HAVE_RUN if call is not None else ""
            body = problem(status, told, call.request_id.decode() if call is not None else "")
        if body:
            lines.append(b"content-type: %s\r\n" % content_type)
        if status != 204:
            lines.append(b"content-length: %d\r\n" % len(body))
        if call is not None:
            lines.append(b"request-id: %s\r\n" % call.request_id)
        if status in (429, 503):
            lines.append(b"retry-after: %d\r\n" % max(1, math.ceil(answer.retry_after)))
        lines += [b"%s: %s\r\n" % pair for pair in answer.extra_headers or ()]
    lines.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(lines) if head else b"".join(lines) + body
