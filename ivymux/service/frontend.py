"""The frontend for ordinary HTTP: routes by a description, callers by API key, unchanged backend answers."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from functools import lru_cache, partial
from ipaddress import ip_address, ip_network
from typing import Protocol
from urllib.parse import unquote_plus

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.routes import override
from ivymux.routes.matcher import NoRoute
from ivymux.routes.table import BadParameter, Table
from ivymux.service.callers import Caller
from ivymux.service.headers import (
    ANSWER_DROPPED,
    BODILESS_ANSWER_DROPPED,
    FORWARDING_NAMES,
    REQUEST_DROPPED,
    answer_fields,
    forwardable_fields,
    forwarding_fields,
)  # fmt: skip
from ivymux.service.problem import MAY_HAVE_RUN, MEDIA_TYPE, NOT_RUN, REASONS, problem_body
from orchidhill import interface as i
from orchidhill.interface import Effect

READINESS_PATH = b"/-/ready"
REQUEST_ID_CHARS = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-"
HOST_CHARS = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_.-:[]"
# Without a body, requests with these methods are sent without Content-Length; others with Content-Length: 0.
METHODS_WITHOUT_BODY = frozenset((b"GET", b"HEAD", b"OPTIONS", b"TRACE", b"DELETE"))


@lru_cache(maxsize=4096)
def untrusted_forwarding_fields(peer_address: str, host: bytes) -> bytes:
    """Return the forwarding fields for a client that is no trusted proxy.

    Cached, as few pairs of addresses and hosts occur.
    """
    return forwarding_fields(peer_address, host, [])


class KeyLookup(Protocol):
    """Finds callers by their API keys."""

    def find(self, key: bytes) -> Caller | None:
        """Return the caller of an API key, or None if the key is unknown."""
        ...


class HttpFrontend:
    """Parses the requests and encodes the answers of one site or tenant."""

    header_too_large_status = 400
    allows_half_close = True
    closes_after_refusal = False

    def __init__(
        self, table: Table, callers: KeyLookup, key_header: str, plans: tuple[i.Plan, ...],
        gateway_count: int, max_body_bytes: int, max_unread_clients: int, trusted_proxies: tuple[str, ...],
        is_ready: Callable[[], bool], make_id: Callable[[], str],
    ) -> None:  # fmt: skip
        """`gateway_count`: gateways that share the counter; `trusted_proxies`: networks of proxies whose
        forwarding fields are believed.
        """
        self.table, self.callers, self.is_ready, self.make_id = table, callers, is_ready, make_id
        self.key_header = key_header.lower().encode()
        self.dropped_fields = REQUEST_DROPPED | FORWARDING_NAMES | {self.key_header}
        self.plans, self.gateway_count = plans, gateway_count
        self.max_body_bytes, self.max_unread_clients = max_body_bytes, max_unread_clients
        networks = [ip_network(text) for text in trusted_proxies]

        @lru_cache(maxsize=4096)
        def is_trusted(peer_address: str) -> bool:
            try:
                address = ip_address(peer_address)
            except ValueError:
                return False
            return any(address in network for network in networks)

        self.is_trusted = is_trusted
        self.refusal_counts: dict[int, int] = {}  # of requests that were refused as invalid, by status

    def answer_locally(self, target: bytes) -> Answer | None:
        if target != READINESS_PATH:
            return None
        return Answer(200, b"ready\n", b"text/plain") if self.is_ready() else Answer(503, retry_after=1.0)

    # --- requests ------------------------------------------------------------------------------------

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        return self.accept_from(None, method, target, headers, body, received_at, peer_address)

    def accept_from(
        self, caller: Caller | None, method: bytes, target: bytes, headers: Headers, body: Blocks,
        received_at: float, peer_address: str,
    ) -> Call | Answer:  # fmt: skip
        """Accept a request as `accept` does; `caller` is None if the API key has not been checked yet."""
        host = self.read_host(headers)
        fields = forwardable_fields(headers, self.dropped_fields)
        try:
            decision = self.table.decide(method.decode("ascii"), target, fields)
        except NoRoute as error:
            return self.answer_unrouted(method, target, error)
        except BadParameter as error:
            raise BadRequest(str(error)) from None
        content = b"".join(body)
        operation, parsed = decision.operation, decision.target
        if operation.effect is not Effect.UNSAFE and content:
            self.check_form_override(fields, content, operation.overrides)
        if caller is None:
            caller = self.find_caller(headers)
        plan = self.plans[caller.plan]
        units = decision.units
        if (plan.rate > 0 and units > plan.burst) or (plan.ceiling_rate > 0 and units > plan.ceiling_burst):
            raise BadRequest(
                f"it costs {units:g} units, more than the plan {plan.name} ever holds at once", 403
            )
        host = parsed.authority or host
        request_id = self.choose_request_id(headers)
        target_sent = parsed.path if parsed.query is None else parsed.path + b"?" + parsed.query
        if self.is_trusted(peer_address):
            forwarding_lines = forwarding_fields(
                peer_address, host, [p for p in headers if p[0] in FORWARDING_NAMES]
            )
        else:
            forwarding_lines = untrusted_forwarding_fields(peer_address, host)
        head = b"%s %s HTTP/1.1\r\nhost: %s\r\n%s%srequest-id: %s\r\nivymux-customer: %s\r\n" % (
            method, target_sent, host, b"".join([b"%s: %s\r\n" % pair for pair in fields]), forwarding_lines,
            request_id, caller.header_value,
        )  # fmt: skip
        if content or method not in METHODS_WITHOUT_BODY:
            head += b"content-length: %d\r\n" % len(content)
        deadline = received_at + operation.deadline
        classes, class_number = self.table.classes, decision.cls

        def make_payload(seconds_left: float) -> bytes:
            return b"%srequest-timeout: %dm\r\n\r\n" % (head, max(1, int(seconds_left * 1000)))

        def make_event(request: int) -> i.Request:
            return i.Request(
                request, class_number, caller.plan, caller.number, deadline - time.monotonic(), units,
                self.gateway_count, 0, False, decision.effect is not Effect.SAFE,
            )  # fmt: skip

        classes.hold(class_number)
        return Call(
            b"", deadline, make_event, make_payload, method == b"HEAD", request_id,
            partial(classes.release, class_number),
            on_departure=OnDeparture.for_request(decision.effect is Effect.SAFE), body=(content,),
        )  # fmt: skip

    def read_host(self, headers: Headers) -> bytes:
        """Return the Host field.  Raises BadRequest, also for transfer codings that are not supported."""
        host = b""
        for name, value in headers:
            if name == b"host":
                if host:
                    raise BadRequest("a request has one Host")
                host = value
            elif name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise BadRequest("only the chunked transfer coding is served", 501)
        if not host or host.translate(None, HOST_CHARS):
            raise BadRequest("a request has one Host of plain letters")
        return host

    def choose_request_id(self, headers: Headers) -> bytes:
        """Return the client's request id if it is valid, else a new one."""
        for name, value in headers:
            if name == b"request-id" and 0 < len(value) <= 64 and not value.translate(None, REQUEST_ID_CHARS):
                return value
        return self.make_id().encode()

    def find_caller(self, headers: Headers) -> Caller:
        """Return the caller whose API key the headers hold.  Raises BadRequest with status 401."""
        values = [value for name, value in headers if name == self.key_header]
        if len(values) == 1:
            key = values[0]
            if self.key_header == b"authorization":
                scheme, _, key = key.partition(b" ")
                key = key.strip() if scheme.lower() == b"bearer" else b""
            if key and (caller := self.callers.find(key)) is not None:
                return caller
        scheme = b"Bearer" if self.key_header == b"authorization" else b"ApiKey"
        detail = "no key that is known" if values else f"the header {self.key_header.decode()} holds no key"
        raise BadRequest(detail, 401, [(b"WWW-Authenticate", scheme + b' realm="ivymux"')])

    def check_form_override(self, fields: Headers, content: bytes, allowed_names: tuple[str, ...]) -> None:
        """Raise BadRequest if a field of a form overrides the method.

        Frameworks read such a field from a form as from a query; the operation may allow some by name.
        """
        for name, value in fields:
            if name == b"content-type" and value.strip().lower().startswith(override.FORM):
                field_name = override.find_in_query(content)
                if field_name and unquote_plus(field_name) not in allowed_names:
                    raise BadRequest("a form field that overrides the method is not served")

    def answer_unrouted(self, method: bytes, target: bytes, error: NoRoute) -> Answer:
        """Answer OPTIONS at a path without that operation; raise BadRequest for all else without a route."""
        if error.status != 405:
            raise BadRequest(str(error), error.status)
        allow = [(b"Allow", ", ".join(error.allow).encode())]
        if method == b"OPTIONS":
            return Answer(204, extra_headers=allow)
        raise BadRequest(f"{error}; it has {', '.join(error.allow)}", 405, allow)

    # --- answers -------------------------------------------------------------------------------------

    def refusal(self, error: BadRequest) -> Answer:
        self.refusal_counts[error.status] = self.refusal_counts.get(error.status, 0) + 1
        return refusal_answer(error)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        return (encode_answer(answer, close, call),)


def refusal_answer(error: BadRequest) -> Answer:
    """Return the answer to a refused request, as problem details."""
    retry_after = 1.0 if error.status in (429, 503) else 0.0
    return Answer(
        error.status,
        problem_body(error.status, str(error), ""),
        MEDIA_TYPE,
        retry_after,
        extra_headers=error.headers,
    )


def encode_answer(answer: Answer, close: bool, call: Call | None) -> bytes:
    """Return an answer as bytes of HTTP/1.1; `call`: the request it answers, None if that was refused."""
    is_head = call is not None and call.is_head
    status, body = answer.status, answer.whole_body()
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
    if answer.headers is not None:
        if is_head or status == 304:
            lines += [b"%s: %s\r\n" % p for p in answer_fields(answer.headers, BODILESS_ANSWER_DROPPED)]
        else:
            lines += [b"%s: %s\r\n" % p for p in answer_fields(answer.headers, ANSWER_DROPPED)]
            if status != 204:
                lines.append(b"content-length: %d\r\n" % len(body))
    else:
        content_type = answer.content_type
        if not body and status >= 400:
            content_type = MEDIA_TYPE
            detail = NOT_RUN if status in (429, 503) else MAY_HAVE_RUN if call is not None else ""
            body = problem_body(status, detail, call.request_id.decode() if call is not None else "")
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
    return b"".join(lines) if is_head else b"".join(lines) + body
