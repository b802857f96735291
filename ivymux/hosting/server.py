"""Clients of many tenants: whose a request is, and whether it may go on, before anything costly is done."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.refusals import GATEWAY
from ivymux.data_plane.server import ClientConnection, Exchange, Server
from ivymux.hosting.hosted_tenant import HostedTenant
from ivymux.service.callers import Caller
from ivymux.service.frontend import READY, HttpFrontend, encode, refusal
from ivymux.service.problem import TYPE, problem
from ivymux.tenants.shares import Share, Shares

BEYOND = "This tenant asks for more than its part of the service."
MAX_NAME = 300  # bytes of a Host field that can name a tenant
MAX_WAIT = 60


class HostedFrontend:
    """What is told alike to the clients of all tenants; each tenant's own front takes its requests."""

    header_too_large_status = 400
    allows_half_close = True
    closes_after_refusal = False

    def __init__(self, most_body: int, most_unread: int, ready: Callable[[], bool]) -> None:
        self.max_body_bytes, self.max_unread_clients, self.ready = most_body, most_unread, ready
        self.refusals: dict[int, Answer] = {}  # by the seconds that they tell
        self.written: dict[tuple[int, bool], bytes] = {}

    def answer_locally(self, target: bytes) -> Answer | None:
        if target != READY:
            return None
        return Answer(200, b"ready\n", b"text/plain") if self.ready() else Answer(503, retry_after=1.0)

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: list[bytes],
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        raise BadRequest("no tenant has this host name", 421)

    def beyond(self, wait: float) -> Answer:
        """The refusal of a request beyond its tenant's part: made once for each number of seconds."""
        seconds = min(MAX_WAIT, max(1, math.ceil(wait)))
        found = self.refusals.get(seconds)
        if found is None:
            found = Answer(429, problem(429, BEYOND, ""), TYPE, float(seconds))
            self.refusals[seconds] = found
        return found

    def refusal(self, error: BadRequest) -> Answer:
        return refusal(error)

    def encode(self, answer: Answer, close: bool, call: Call | None) -> bytes:
        if call is not None:
            return encode(answer, close, call)
        if self.refusals.get(int(answer.retry_after)) is answer:
            key = int(answer.retry_after), close
            if key not in self.written:
                self.written[key] = encode(answer, close, None)
            return self.written[key]
        return encode(answer, close, None)


class HostedExchange(Exchange):
    """A request that counts for its tenant until nothing of it is out."""

    __slots__ = ("share",)
    share: Share  # from the moment on at which it is taken

    def release(self) -> None:
        share = self.share
        share.open -= 1
        if self.held_bytes:
            share.held -= self.held_bytes
            self.client.server.held_bytes -= self.held_bytes
            self.held_bytes = 0
        if (call := self.call) is not None and call.on_finished is not None:
            call.on_finished()  # its id is the worker's matter: none is kept here


class HostedClient(ClientConnection):
    """One connection; it counts for the tenant that it asked last."""

    server: HostedServer
    exchange_type = HostedExchange

    def __init__(self, server: HostedServer) -> None:
        super().__init__(server)
        self.asked: HostedTenant | None = None  # whose host name the request has that is coming in
        self.frontend: HttpFrontend | None = None  # that has looked at its key
        self.caller: Caller | None = None
        self.stranger: BadRequest | None = None  # why its key does not count
        self.resident: HostedTenant | None = None  # whom the connection counts for
        self.holder: Share | None = None  # whom the body counts for that is coming in

    def on_headers_complete(self) -> None:
        """Put a request to its tenant, before its body comes.

        Only what has a key of the tenant counts for it: else anybody who knows its host name could use up its
        connections, its memory and its requests.
        """
        named = b""
        for name, value in self.headers:
            if name == b"host":
                named = value
                break
        asked = self.server.residents.get(named.decode("latin-1"))  # as it mostly is
        if asked is None and len(named) <= MAX_NAME:
            asked = self.server.find(named)
        self.asked, self.holder = asked, None
        self.recognize()
        if self.caller is not None and asked is not None:
            self.holder = asked.share
            if asked is not self.resident:
                self.move(asked)
        elif self.stranger is not None and self.has_body():
            raise self.stranger
        ClientConnection.on_headers_complete(self)

    def recognize(self) -> None:
        """Whose key a request has, as the tenant's front of now says."""
        self.caller = self.stranger = self.frontend = None
        if self.asked is None or (frontend := self.asked.served_by) is None:
            return
        self.frontend = frontend
        try:
            self.caller = frontend.caller(self.headers)
        except BadRequest as error:
            self.stranger = error

    def has_body(self) -> bool:
        return any(
            name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
            for name, value in self.headers
        )

    def move(self, resident: HostedTenant | None) -> None:
        """Count for another tenant.  Raises BadRequest where that has as many connections as it may."""
        if self.resident is not None:
            self.resident.share.connections -= 1
        self.resident = resident
        if resident is not None:
            share = resident.share
            share.connections += 1
            if share.connections > share.limits.connections:
                raise BadRequest("too many connections of this tenant", 429)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        if self.resident is not None:
            self.resident.share.connections -= 1
            self.resident = None

    def on_body(self, body: bytes) -> None:
        super().on_body(body)
        if (share := self.holder) is not None:
            share.held += len(body)
            if share.held > share.most_held:
                raise BadRequest("too much is held of this tenant", 429)

    def release_body(self) -> None:
        if self.held_bytes:
            if self.holder is not None:
                self.holder.held -= self.held_bytes
            self.server.held_bytes -= self.held_bytes
            self.held_bytes = 0
        self.body = []

    def handle_request(self, exchange: Exchange) -> None:
        resident, server, url = self.asked, self.server, self.url
        if resident is None or url == READY or len(server.clients) > server.max_clients:
            super().handle_request(exchange)
            return
        if url[:1] != b"/" and url[:1] != b"*" and server.find(authority(url)) is not resident:
            raise BadRequest("the target and Host name different places", 421)
        frontend = resident.served_by
        if frontend is None:
            raise BadRequest("this tenant is not served now", 503)
        if frontend is not self.frontend:
            self.recognize()  # the tenant's state changed while the request came in
        caller, share = self.caller, resident.share
        if caller is None:
            server.shares.strangers += 1
            assert self.stranger is not None
            raise self.stranger
        if wait := server.shares.ask(share, time.monotonic()):
            server.refusal_log.record(GATEWAY)
            exchange.reply(server.hosted.beyond(wait))
            return
        try:
            call = frontend.take_of(
                caller, self.parser.get_method(), self.url, self.headers, self.body, self.request_started_at,
                self.peer_address,
            )  # fmt: skip
        except BaseException:
            server.shares.over(share)
            raise
        if isinstance(call, Answer):
            server.shares.over(share)
            exchange.reply(call)
            return
        part = resident.part
        assert part is not None and isinstance(exchange, HostedExchange)
        exchange.share, exchange.call = share, call
        exchange.held_bytes, self.held_bytes = self.held_bytes, 0
        resident.served += 1
        exchange.request = part.host.submit(call, exchange.reply, exchange.release)


class HostedServer(Server):
    """One listener of all tenants."""

    client_type = HostedClient

    def __init__(
        self, frontend: HostedFrontend, listen: Address, bounds: Bounds, shares: Shares,
        residents: dict[str, HostedTenant],
    ) -> None:  # fmt: skip
        super().__init__(frontend, listen, bounds, None)
        self.hosted, self.shares, self.residents = frontend, shares, residents

    def find(self, named: bytes) -> HostedTenant | None:
        """The tenant of a Host field.  Host names are of any case and may end in a dot (RFC 9110, 4.2.3)."""
        found = self.residents.get(named.decode("latin-1"))
        if found is not None or not named:
            return found
        host = named.decode("latin-1").lower()
        name, _, port = host.rpartition(":")
        if name and port.isdigit():
            host = name
        return self.residents.get(host.removesuffix("."))


def authority(target: bytes) -> bytes:
    """Of a target in absolute form (RFC 9112, 3.2.2); empty for what has none."""
    parts = target.split(b"/", 3)
    return parts[2] if len(parts) > 2 and not parts[1] else b""
