"""The proxy's HTTP frontend: finds a request's route and tenant, and encodes requests and answers."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING

from ivymux.data_plane.body_buffer import Blocks, total_length
from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer, BadRequest, Call, Headers
from ivymux.proxy.name_tables import NameTables
from ivymux.proxy.shard_tables import ShardTables
from ivymux.routing_config.route_plan import RoutePlan
from orchidhill import interface as i

if TYPE_CHECKING:
    from ivymux.proxy.keyed_requests import KeyedRequests
    from ivymux.proxy.trial_client import TrialClient

REASONS = {
    200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 400: "Bad Request", 401: "Unauthorized",
    404: "Not Found", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
CONNECTION_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
SHARD_KEY_HEADER = b"shard-key"
# Set by the proxy; a client's fields of these names are not passed on.
PROXY_HEADERS = frozenset((b"time-remaining", b"target-instance", b"tenant-name"))
TARGET = re.compile(rb"/[!-~]*")
MILLISECONDS = re.compile(rb"(\d{1,9})(?:\.\d{1,6})?")
NO_TENANT = 0  # customer number and plan number of a request without a tenant
NO_CONFIGURATION = "no configuration yet"
LOST_ANSWER_TEXT = b"the answer was lost in a trial; the request may have run\n"
STARTUP_RETRY_AFTER_S = 0.5  # after which a proxy that has just started most likely has a configuration
UNAVAILABLE_RETRY_AFTER_S = 0.2
DEFAULT_MAX_BODY_BYTES = 64 << 20


class ProxyFrontend:
    """The frontend for clients of the proxy, over HTTP/1.1."""

    allows_half_close = False
    closes_after_refusal = False
    header_too_large_status = 431
    max_unread_clients = 200

    def __init__(
        self,
        tables: NameTables,
        instance_id: Callable[[int], bytes],
        proxy_count: Callable[[], int],
        load_keyed_requests: Callable[[], KeyedRequests] | None = None,
        backend_number: Callable[[str], int] = lambda backend: 0,
        shard_tables: ShardTables | None = None,
    ) -> None:
        """`instance_id`: returns a backend's id by its number; `backend_number`: its number by its id."""
        self.tables, self.instance_id, self.proxy_count = tables, instance_id, proxy_count
        self.load_keyed_requests, self.backend_number = load_keyed_requests, backend_number
        self.shard_tables = shard_tables or ShardTables()
        self.plan: RoutePlan | None = None
        self.trial_client: TrialClient | None = None  # only while a trial may be in force
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES

    def answer_locally(self, target: bytes) -> Answer | None:
        return None

    def update_plan(self, plan: RoutePlan) -> None:
        self.plan = plan
        self.max_body_bytes = plan.client_limits.max_body_bytes

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        plan = self.plan
        if plan is None:
            raise BadRequest(NO_CONFIGURATION, 503)
        if not TARGET.fullmatch(target):
            raise BadRequest("malformed target")
        host, authorization, try_id, time_remaining, shard_key = b"", b"", b"", b"", b""
        host_count, has_key = 0, False
        dropped = set(CONNECTION_HEADERS)
        for field, value in headers:
            if field == b"host":
                host, host_count = value, host_count + 1
            elif field == b"authorization":
                authorization = value
            elif field == b"try-id":
                try_id = value
            elif field == b"time-remaining":
                time_remaining = value
            elif field == SHARD_KEY_HEADER:
                shard_key = value
            elif field == IDEMPOTENCY_KEY_HEADER:
                has_key = True
            elif field == b"connection":  # names headers that apply to this connection only
                dropped |= {part.strip().lower() for part in value.split(b",")}
        if host_count != 1:
            raise BadRequest("one Host is needed")
        path = target.partition(b"?")[0].decode("latin-1")
        route = plan.find_route(host.decode("latin-1").lower().partition(":")[0], path)
        if route is None:
            raise BadRequest("no route", 404)
        tenant, api_key = "", b""
        if plan.has_tenants:
            scheme, _, api_key = authorization.partition(b" ")
            api_key = api_key.strip()
            known_tenant = plan.tenant_by_key.get(api_key) if scheme.lower() == b"bearer" else None
            if known_tenant is None and not route.no_auth:
                raise BadRequest("unknown key", 401)
            tenant = known_tenant or ""
            dropped.add(b"authorization")
        match = MILLISECONDS.fullmatch(time_remaining)
        timeout_s = min(route.deadline_s, int(match[1]) / 1000) if match else route.deadline_s
        deadline = received_at + timeout_s
        # Retries of a request get the same draw and so, on a split route, the same service.
        draw = int.from_bytes(blake2b(try_id or target, digest_size=8).digest(), "big") / 2**64
        body_bytes = total_length(body)
        claim, home, keyed_service = None, 0, ""
        if has_key and tenant and not route.is_idempotent and self.load_keyed_requests is not None:
            keyed = self.load_keyed_requests().prepare(
                route, headers, tenant, authorization, method, host, target, body, deadline, try_id
            )
            claim, keyed_service = keyed.claim, keyed.service
            home = self.backend_number(keyed.home_backend)
        service_name = keyed_service or route.choose_service(draw)
        is_sharded = plan.services[service_name].is_sharded
        if is_sharded:
            home = self.shard_holder(service_name, shard_key)
        hold_s, drops_answer = 0.0, False
        if self.trial_client is not None and tenant:
            injection = self.trial_client.inject(
                tenant, api_key, route.name, service_name, try_id or target, deadline
            )
            if injection.answer is not None:
                return injection.answer
            hold_s, drops_answer = injection.hold_s, injection.drops_answer
        service = self.tables.service_number(service_name)
        head = b"%s %s HTTP/1.1\r\n" % (method, target) + b"".join(
            b"%s: %s\r\n" % pair
            for pair in headers
            if pair[0] not in dropped and pair[0] not in PROXY_HEADERS
        )
        if body_bytes or method in (b"POST", b"PUT", b"PATCH"):
            head += b"Content-Length: %d\r\n" % body_bytes
        if tenant:
            head += b"Tenant-Name: %s\r\n" % tenant.encode()
        instance_id = self.instance_id

        def make_payload_for(remaining_s: float, backend: int) -> bytes:
            return b"%sTarget-Instance: %s\r\nTime-Remaining: %d\r\n\r\n" % (
                head, instance_id(backend), max(1, int(remaining_s * 1000))
            )  # fmt: skip

        tables, proxy_count = self.tables, self.proxy_count
        class_number = tables.class_number(route)
        plan_number = tables.plan_numbers.get(tenant, NO_TENANT)
        customer = tables.customer_numbers.get(tenant, NO_TENANT)

        def make_event(request: int) -> i.Request:
            return i.Request(
                request, class_number, plan_number, customer, deadline - time.monotonic(), 1.0, proxy_count(),
                0, False, not route.is_idempotent, service, route.max_attempts, home, is_sharded,
            )  # fmt: skip

        return Call(
            b"", deadline, make_event, _no_payload, method == b"HEAD", try_id,
            make_payload_for=make_payload_for, claim=claim, hold_s=hold_s, drops_answer=drops_answer,
            on_departure=OnDeparture.for_request(route.is_idempotent), body=body,
        )  # fmt: skip

    def shard_holder(self, service: str, key: bytes) -> int:
        """Return the number of the backend that holds a key.  Raises BadRequest."""
        holder = self.shard_tables.holder(service, key)
        if holder is None:
            raise BadRequest("Shard-Key: write a whole number from 0 to 65535")
        number = self.backend_number(holder)
        if not number:
            raise BadRequest("no backend holds this key just now", 503)
        self.shard_tables.count_request(service, key)
        return number

    def refusal(self, error: BadRequest) -> Answer:
        body = f"{error}\n".encode()
        if error.status != 503:
            return Answer(error.status, body)
        is_starting = str(error) == NO_CONFIGURATION
        retry_after = STARTUP_RETRY_AFTER_S if is_starting else UNAVAILABLE_RETRY_AFTER_S
        return Answer(error.status, body, retry_after=retry_after)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        status = answer.status
        if status == CLOSE_CONNECTION:
            return (b"",)
        if call is not None and call.drops_answer and answer.headers is not None:
            answer, status = Answer(502, LOST_ANSWER_TEXT), 502
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Answer").encode())]
        if answer.headers is not None:
            parts += [b"%s: %s\r\n" % pair for pair in answer.headers if pair[0] not in CONNECTION_HEADERS]
        elif call is not None and call.request_id:
            parts.append(b"try-id: %s\r\n" % call.request_id)
        has_no_body = status in (204, 304)
        if not has_no_body:
            parts.append(b"content-length: %d\r\n" % answer.body_length)
        if answer.retry_after > 0:
            parts.append(b"retry-after: %.3f\r\n" % answer.retry_after)
        if close:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        if not (has_no_body or (call is not None and call.is_head)):
            parts.append(answer.body)
            return b"".join(parts), *answer.long_body
        return (b"".join(parts),)


def _no_payload(left: float) -> bytes:
    raise AssertionError("a payload needs its backend: use make_payload_for")
