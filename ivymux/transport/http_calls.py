"""HTTP calls from backends and operators: endpoints declared on their handlers, dispatch, JSON errors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.data_plane.refusal_log import RefusalLog

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host

REASON_PHRASES = {
    200: "OK", 204: "No Content", 307: "Temporary Redirect", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip
JSON = b"application/json"
CALL_TIMEOUT_S = 5.0  # a call that takes longer is answered with 503
NAME_PLACEHOLDER = "{}"  # at the end of an endpoint's path, in place of the name in a request's path


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request as its endpoint's handler gets it."""

    name: str  # the part of the path in place of {}; empty where the endpoint has none
    body: bytes


Handler = Callable[[Any, HttpRequest], Awaitable[Answer]]  # a method: its first argument is the owner


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A method and a path with the handler that serves them."""

    method: bytes
    path_prefix: bytes  # the path, or the part of it before the name
    has_name: bool
    handler: Handler


def endpoint(method: str, path: str) -> Callable[[Handler], Handler]:
    """Declare the decorated method as an endpoint's handler.  A path that ends in {} takes a name there."""

    def mark(handler: Handler) -> Handler:
        has_name = path.endswith(NAME_PLACEHOLDER)
        cast(Any, handler).declared = Endpoint(
            method.encode(), path.removesuffix(NAME_PLACEHOLDER).encode(), has_name, handler
        )
        return handler

    return mark


def endpoints_of(owner: object) -> list[Endpoint]:
    """Return the endpoints that the owner's class and its base classes declare."""
    attributes = [value for cls in type(owner).__mro__ for value in vars(cls).values()]
    found = [getattr(value, "declared", None) for value in attributes]
    return [value for value in found if isinstance(value, Endpoint)]


@dataclass(slots=True)
class HttpCall(Call):
    """A request with the handler that serves it, as the data plane's server passes it on."""

    request: HttpRequest | None = None
    handler: Handler | None = None


class HttpCallFrontend:
    """The data plane's frontend for HTTP calls from backends and operators to a core machine."""

    header_too_large_status = 431
    allows_half_close = True
    closes_after_refusal = False
    max_unread_clients = 1000

    def __init__(self, owner: object, max_body_bytes: int) -> None:
        """Serve the endpoints that the owner's class declares."""
        self.owner, self.max_body_bytes = owner, max_body_bytes
        self.endpoints = endpoints_of(owner)

    def answer_locally(self, target: bytes) -> Answer | None:
        return None

    def accept(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Blocks,
        received_at: float,
        peer_address: str,
    ) -> Call | Answer:
        path = target.partition(b"?")[0]
        path_is_known = False
        for endpoint in self.endpoints:
            name = path[len(endpoint.path_prefix) :]
            if not path.startswith(endpoint.path_prefix) or bool(name) != endpoint.has_name:
                continue
            path_is_known = True
            if endpoint.method == method:
                request = HttpRequest(name.decode("latin-1"), b"".join(body))
                return HttpCall(
                    b"",
                    time.monotonic() + CALL_TIMEOUT_S,
                    _not_forwarded,
                    _not_forwarded,
                    request=request,
                    handler=endpoint.handler,
                )
        status = 405 if path_is_known else 404
        raise BadRequest("no such call here; see the calls of backends and operators", status)

    def refusal(self, error: BadRequest) -> Answer:
        return error_answer(error.status, str(error))

    def encode(self, answer: Answer, close: bool, call: Call | None) -> Blocks:
        head = f"HTTP/1.1 {answer.status} {REASON_PHRASES.get(answer.status, 'Answer')}\r\n"
        head += f"Content-Length: {len(answer.body)}\r\n"
        if answer.content_type:
            head += f"Content-Type: {answer.content_type.decode()}\r\n"
        if close:
            head += "Connection: close\r\n"
        return head.encode() + b"\r\n", answer.body


def _not_forwarded(_: float) -> Any:
    raise AssertionError("an HTTP call to a core machine goes to its handler, never to a backend")


def error_answer(status: int, text: str) -> Answer:
    """Build an answer with a JSON body that gives the error's text."""
    import msgspec

    return Answer(status, msgspec.json.encode({"error": text}), JSON)


class HttpCallDispatcher:
    """Runs the handler of each HTTP call; stands in for the `Host` that the data plane's server expects."""

    def __init__(self, owner: object) -> None:
        self.owner = owner
        self.refusal_log = RefusalLog()
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed_calls = 0

    def as_host(self) -> Host:
        """This object, typed as the `Host` that `Server` expects."""
        return cast("Host", self)

    def submit(self, call: Call, reply: Callable[[Answer], None], release: Callable[[], None]) -> Any:
        """Start the call's handler in a task; `reply` gets the answer, then `release` is called."""
        assert isinstance(call, HttpCall)
        task = asyncio.get_running_loop().create_task(self.handle(call, reply, release))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return _OpenRequest(self)

    async def handle(
        self, call: HttpCall, reply: Callable[[Answer], None], release: Callable[[], None]
    ) -> None:
        """Run the handler; a failure or timeout is answered with 503."""
        assert call.handler is not None and call.request is not None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await call.handler(self.owner, call.request)
        except Exception as error:
            self.failed_calls += 1
            text = f"the call could not be carried: {type(error).__name__}; repeat it"
            answer = error_answer(503, text)
        reply(answer)
        release()

    def on_client_left(self, request: object) -> None:
        """Ignore that the client disconnected: a handler that has started runs to its end."""


@dataclass(slots=True)
class _OpenRequest:
    """What the server keeps of a request that is being handled."""

    host: HttpCallDispatcher
