"""HTTP server for many tenants: finds a request's tenant and admits or refuses it before any costly work."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from ivymux.data_plane.body_buffer import Blocks, BodyBuffer
from ivymux.data_plane.client_connection import ClientConnection, Exchange
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.refusals import GATEWAY
from ivymux.data_plane.server import Server
from ivymux.hosting.hosted_tenant import HostedTenant
from ivymux.service.callers import Caller
from ivymux.service.frontend import READINESS_PATH, HttpFrontend, encode_answer, refusal_answer
from ivymux.service.problem import MEDIA_TYPE, problem_body
from ivymux.tenants.shares import Share, Shares

SHARE_EXCEEDED_TEXT = "This tenant asks for more than its part of the service."
MAX_HOST_FIELD_BYTES = 300  # a longer Host field names no tenant
MAX_RETRY_AFTER_S = 60


class HostedFrontend:
    """Answers that are the same for all tenants; requests are accepted by each tenant's `HttpFrontend`."""

    header_too_large_status = 400
    allows_half_close = True
    closes_after_refusal = False

    def __init__(self, max_body_bytes: int, max_unread_clients: int, is_ready: Callable[[], bool]) -> None:
        self.max_body_bytes, self.max_unread_clients = max_body_bytes, max_unread_clients
        self.is_ready = is_ready
        self.refusals: dict[int, Answer] = {}  # by the seconds of their Retry-After field
        # By the seconds of the Retry-After field, and whether the connection is closed after the answer.
        self.encoded_refusals: dict[tuple[int, bool], bytes] = {}

    def answer_locally(self, target: bytes) -> Answer | None:
        if target != READINESS_PATH:
            return None
        return Answer(200, b"ready\n", b"text/plain") if self.is_ready() else Answer(503, retry_after=1.0)

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        """Refuse a request for a host name of no tenant; others are accepted by their tenant's frontend."""
        raise BadRequest("no tenant has this host name", 421)

    def share_exceeded(self, wait_s: float) -> Answer:
        """Return the refusal of a request beyond its tenant's share, cached by its number of seconds."""
        seconds = min(MAX_RETRY_AFTER_S, max(1, math.ceil(wait_s)))
        answer = self.refusals.get(seconds)
        if answer is None:
            answer = Answer(429, problem_body(429, SHARE_EXCEEDED_TEXT, ""), MEDIA_TYPE, float(seconds))
            self.refusals[seconds] = answer
        return answer

    def refusal(self, error: BadRequest) -> Answer:
        return refusal_answer(error)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        if call is not None:
            return (encode_answer(answer, close, call),)
        if self.refusals.get(int(answer.retry_after)) is answer:
            key = int(answer.retry_after), close
            if key not in self.encoded_refusals:
                self.encoded_refusals[key] = encode_answer(answer, close, None)
            return (self.encoded_refusals[key],)
        return (encode_answer(answer, close, None),)


class HostedExchange(Exchange):
    """A request that counts towards its tenant's limits until it is answered and has no open attempts."""

    __slots__ = ("share",)
    share: Share  # set once the request is admitted

    def release(self) -> None:
        share = self.share
        share.open -= 1
        if self.held_bytes:
            share.held_bytes -= self.held_bytes
            self.client.server.held_bytes -= self.held_bytes
            self.held_bytes = 0
        self.client.server.release_request(self)
        if (call := self.call) is not None and call.on_finished is not None:
            call.on_finished()  # `unique_key` is not used here: the workers check that request ids are unique


class HostedClient(ClientConnection):
    """A client connection; it counts towards the limits of the tenant of its last request."""

    server: HostedServer
    exchange_type = HostedExchange

    def __init__(self, server: HostedServer) -> None:
        super().__init__(server)
        self.requested_tenant: HostedTenant | None = None  # named by the request that is being received
        self.frontend: HttpFrontend | None = None  # that checked the request's key
        self.caller: Caller | None = None
        self.key_error: BadRequest | None = None  # why the request's key is not valid
        self.counted_tenant: HostedTenant | None = None  # towards whose limits the connection counts
        self.body_share: Share | None = None  # towards whose limits the body being received counts

    def on_headers_complete(self) -> None:
        """Find a request's tenant and check its key before the body is received.

        Only a request with a key of the tenant counts towards its limits: otherwise anyone who knows the host
        name could use up the tenant's connections, memory and requests.
        """
        host_field = b""
        for name, value in self.headers:
            if name == b"host":
                host_field = value
                break
        # Most clients send the name as the tenant's state has it, which needs no normalization.
        tenant = self.server.tenants_by_host.get(host_field.decode("latin-1"))
        if tenant is None and len(host_field) <= MAX_HOST_FIELD_BYTES:
            tenant = self.server.find_tenant(host_field)
        self.requested_tenant, self.body_share = tenant, None
        self.identify_caller()
        if self.caller is not None and tenant is not None:
            self.body_share = tenant.share
            if tenant is not self.counted_tenant:
                self.count_towards(tenant)
        elif self.key_error is not None and self.has_body():
            raise self.key_error
        ClientConnection.on_headers_complete(self)

    def identify_caller(self) -> None:
        """Find the caller of a request's key by the tenant's current frontend."""
        self.caller = self.key_error = self.frontend = None
        if self.requested_tenant is None or (frontend := self.requested_tenant.frontend) is None:
            return
        self.frontend = frontend
        try:
            self.caller = frontend.find_caller(self.headers)
        except BadRequest as error:
            self.key_error = error

    def has_body(self) -> bool:
        """Whether the headers announce a body."""
        return any(
            name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
            for name, value in self.headers
        )

    def count_towards(self, tenant: HostedTenant | None) -> None:
        """Count this connection towards the limits of another tenant, or of none.

        Raises BadRequest if that tenant has too many connections.
        """
        if self.counted_tenant is not None:
            self.counted_tenant.share.connections -= 1
        self.counted_tenant = tenant
        if tenant is not None:
            share = tenant.share
            share.connections += 1
            if share.connections > share.limits.connections:
                raise BadRequest("too many connections of this tenant", 429)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        if self.counted_tenant is not None:
            self.counted_tenant.share.connections -= 1
            self.counted_tenant = None

    def count_body(self, size: int) -> None:
        """Count memory of the body towards the tenant's limit too.  Raises BadRequest beyond a limit."""
        super().count_body(size)
        if (share := self.body_share) is not None:
            share.held_bytes += size
            if share.held_bytes > share.max_held_bytes:
                raise BadRequest("too much is held of this tenant", 429)

    def release_body(self) -> None:
        """Discard the received body, which no longer counts towards any limit."""
        if self.held_bytes:
            if self.body_share is not None:
                self.body_share.held_bytes -= self.held_bytes
            self.server.held_bytes -= self.held_bytes
            self.held_bytes = 0
        self.body = BodyBuffer()

    def handle_request(self, exchange: Exchange) -> None:
        """Admit a complete request to its tenant's current generation, or refuse it."""
        tenant, server, url = self.requested_tenant, self.server, self.url
        if tenant is None or url == READINESS_PATH or len(server.clients) > server.max_clients:
            super().handle_request(exchange)
            return
        if url[:1] != b"/" and url[:1] != b"*" and server.find_tenant(authority(url)) is not tenant:
            raise BadRequest("the target and Host name different places", 421)
        frontend = tenant.frontend
        if frontend is None:
            raise BadRequest("this tenant is not served now", 503)
        if frontend is not self.frontend:
            self.identify_caller()  # the tenant's state changed while the request was being received
        caller, share = self.caller, tenant.share
        if caller is None:
            server.shares.unauthenticated_count += 1
            assert self.key_error is not None
            raise self.key_error
        if wait_s := server.shares.admit(share, time.monotonic()):
            server.refusal_log.record(GATEWAY)
            exchange.reply(server.hosted_frontend.share_exceeded(wait_s))
            return
        try:
            call = frontend.accept_from(
                caller, self.parser.get_method(), self.url, self.headers, self.body.blocks,
                self.request_started_at, self.peer_address,
            )  # fmt: skip
        except BaseException:
            server.shares.release(share)
            raise
        if isinstance(call, Answer):
            server.shares.release(share)
            exchange.reply(call)
            return
        generation = tenant.generation
        assert generation is not None and isinstance(exchange, HostedExchange)
        server.hold_request(exchange, self.head_bytes)
        exchange.share, exchange.call = share, call
        exchange.held_bytes, self.held_bytes = self.held_bytes, 0
        tenant.served_count += 1
        exchange.request = generation.host.submit(call, exchange.reply, exchange.release)


class HostedServer(Server):
    """The listener for the requests of all tenants."""

    client_type = HostedClient

    def __init__(
        self, frontend: HostedFrontend, listen: Address, bounds: Bounds, shares: Shares,
        tenants_by_host: dict[str, HostedTenant],
    ) -> None:  # fmt: skip
        super().__init__(frontend, listen, bounds, None)
        self.hosted_frontend, self.shares, self.tenants_by_host = frontend, shares, tenants_by_host

    def find_tenant(self, host_field: bytes) -> HostedTenant | None:
        """Return the tenant of a Host field.

        Host names are case-insensitive and may end in a dot (RFC 9110, 4.2.3).
        """
        found = self.tenants_by_host.get(host_field.decode("latin-1"))
        if found is not None or not host_field:
            return found
        host = host_field.decode("latin-1").lower()
        name, _, port = host.rpartition(":")
        if name and port.isdigit():
            host = name
        return self.tenants_by_host.get(host.removesuffix("."))


def authority(target: bytes) -> bytes:
    """Return the authority of a target in absolute form (RFC 9112, 3.2.2), or nothing for other forms."""
    parts = target.split(b"/", 3)
    return parts[2] if len(parts) > 2 and not parts[1] else b""
