"""The users' protocol at the door: routes, keys, tenants; what goes to a backend and what comes back."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING

from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import CLOSE_CONNECTION, Answer, BadRequest, Call, Headers
from ivymux.proxy.name_tables import NameTables
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
ONE_CONNECTION = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)
KEY = b"idempotency-key"
OURS = frozenset((b"time-remaining", b"target-instance", b"tenant-name"))
TARGET = re.compile(rb"/[!-~]*")
MILLISECONDS = re.compile(rb"(\d{1,9})(?:\.\d{1,6})?")
NO_TENANT = 0
NOT_YET = "no configuration yet"
LOST_TEXT = b"the answer was lost in a trial; the request may have run\n"
START = 0.5  # seconds in which a door that has just started most likely has one


class ProxyFrontend:
    allows_half_close = False
    closes_after_refusal = False
    header_too_large_status = 431
    max_unread_clients = 200

    def __init__(
        self, tables: NameTables, instance: Callable[[int], bytes], doors: Callable[[], int],
        keys: Callable[[], KeyedRequests] | None = None, number: Callable[[str], int] = lambda backend: 0,
    ) -> None:  # fmt: skip
        """`instance`: the id of a backend's life by its number, `number` the other way; `doors`: how many
        doors there are; `keys`: what actions with keys need.
        """
        self.tables, self.instance, self.doors = tables, instance, doors
        self.keys, self.number = keys, number
        self.plan: RoutePlan | None = None
        self.catcher: TrialClient | None = None  # only while a trial may be in force
        self.max_body_bytes = 64 << 20

    def answer_locally(self, target: bytes) -> Answer | None:
        return None

    def use(self, plan: RoutePlan) -> None:
        self.plan = plan
        self.max_body_bytes = plan.client_limits.max_body_bytes

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: list[bytes],
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        plan = self.plan
        if plan is None:
            raise BadRequest(NOT_YET, 503)
        if not TARGET.fullmatch(target):
            raise BadRequest("malformed target")
        host, auth, name, left = b"", b"", b"", b""
        hosts, keyed = 0, False
        dropped = set(ONE_CONNECTION)
        for field, value in headers:
            if field == b"host":
                host, hosts = value, hosts + 1
            elif field == b"authorization":
                auth = value
            elif field == b"try-id":
                name = value
            elif field == b"time-remaining":
                left = value
            elif field == KEY:
                keyed = True
            elif field == b"connection":  # what it names concerns this connection only
                dropped |= {part.strip().lower() for part in value.split(b",")}
        if hosts != 1:
            raise BadRequest("one Host is needed")
        path = target.partition(b"?")[0].decode("latin-1")
        route = plan.find_route(host.decode("latin-1").lower().partition(":")[0], path)
        if route is None:
            raise BadRequest("no route", 404)
        tenant, key = "", b""
        if plan.has_tenants:
            scheme, _, key = auth.partition(b" ")
            key = key.strip()
            known = plan.tenant_by_key.get(key) if scheme.lower() == b"bearer" else None
            if known is None and not route.no_auth:
                raise BadRequest("unknown key", 401)
            tenant = known or ""
            dropped.add(b"authorization")
        found = MILLISECONDS.fullmatch(left)
        wait = min(route.deadline_s, int(found[1]) / 1000) if found else route.deadline_s
        end = received_at + wait
        draw = int.from_bytes(blake2b(name or target, digest_size=8).digest(), "big") / 2**64
        content = b"".join(body)
        claim, home, name_of = None, 0, ""
        if keyed and tenant and not route.is_idempotent and self.keys is not None:
            taken = self.keys().prepare(
                route, headers, tenant, auth, method, host, target, content, end, name
            )
            claim, name_of, home = taken.claim, taken.service, self.number(taken.home_backend)
        service_name = name_of or route.choose_service(draw)
        hold, lose = 0.0, False
        if self.catcher is not None and tenant:
            caught = self.catcher.meet(tenant, key, route.name, service_name, name or target, end)
            if caught.answer is not None:
                return caught.answer
            hold, lose = caught.hold, caught.lose
        service = self.tables.service(service_name)
        head = b"%s %s HTTP/1.1\r\n" % (method, target) + b"".join(
            b"%s: %s\r\n" % pair for pair in headers if pair[0] not in dropped and pair[0] not in OURS
        )
        if content or method in (b"POST", b"PUT", b"PATCH"):
            head += b"Content-Length: %d\r\n" % len(content)
        if tenant:
            head += b"Tenant-Name: %s\r\n" % tenant.encode()
        instance = self.instance

        def to(left: float, backend: int) -> bytes:
            return b"%sTarget-Instance: %s\r\nTime-Remaining: %d\r\n\r\n%s" % (
                head, instance(backend), max(1, int(left * 1000)), content
            )  # fmt: skip

        tables, doors = self.tables, self.doors
        cls = tables.cls(route)
        plan_number = tables.tenants.get(tenant, NO_TENANT)
        customer = tables.customers.get(tenant, 0)

        def make(request: int) -> i.Request:
            return i.Request(
                request, cls, plan_number, customer, end - time.monotonic(), 1.0, doors(), 0, False,
                not route.is_idempotent, service, route.max_attempts, home,
            )  # fmt: skip

        return Call(
            b"", end, make, _no_payload, method == b"HEAD", name,
            make_payload_for=to, claim=claim, hold_s=hold, drops_answer=lose,
            on_departure=OnDeparture.for_request(route.is_idempotent),
        )  # fmt: skip

    def refusal(self, error: BadRequest) -> Answer:
        after = START if str(error) == NOT_YET else 0.2
        return Answer(error.status, f"{error}\n".encode(), retry_after=after if error.status == 503 else 0.0)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> bytes:
        status = answer.status
        if status == CLOSE_CONNECTION:
            return b""
        if call is not None and call.drops_answer and answer.headers is not None:
            answer, status = Answer(502, LOST_TEXT), 502
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Answer").encode())]
        if answer.headers is not None:
            parts += [b"%s: %s\r\n" % pair for pair in answer.headers if pair[0] not in ONE_CONNECTION]
        elif call is not None and call.request_id:
            parts.append(b"try-id: %s\r\n" % call.request_id)
        bodiless = status in (204, 304)
        if not bodiless:
            parts.append(b"content-length: %d\r\n" % len(answer.body))
        if answer.retry_after > 0:
            parts.append(b"retry-after: %.3f\r\n" % answer.retry_after)
        if close:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        if not (bodiless or (call is not None and call.is_head)):
            parts.append(answer.body)
        return b"".join(parts)


def _no_payload(left: float) -> bytes:
    raise AssertionError("what goes to a backend names it")
