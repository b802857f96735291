"""Outside calls of backends and operators: each declared beside its handler, served over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from ivymux.data_plane.frontend import Answer, BadRequest, Call, Headers
from ivymux.data_plane.refusal_log import Told

if TYPE_CHECKING:
    from ivymux.data_plane.host import Host

REASONS = {
    200: "OK", 204: "No Content", 307: "Temporary Redirect", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip
JSON = b"application/json"
CALL_TIME = 5.0  # seconds after which a call has ended whatever happens


@dataclass(frozen=True, slots=True)
class Asked:
    """One call as its handler gets it."""

    name: str  # what stands in the path in the place of {}
    body: bytes


Handler = Callable[[Any, Asked], Awaitable[Answer]]  # the first is its owner


@dataclass(frozen=True, slots=True)
class Declared:
    method: bytes
    before: bytes  # the path up to the name
    named: bool
    handler: Handler


def declare(method: str, path: str) -> Callable[[Handler], Handler]:
    """Declare a call; a path that ends in {} has a name there."""

    def mark(handler: Handler) -> Handler:
        named = path.endswith("{}")
        cast(Any, handler).declared = Declared(
            method.encode(), path.removesuffix("{}").encode(), named, handler
        )
        return handler

    return mark


def declared(owner: object) -> list[Declared]:
    """The calls of an owner's class and of those that it is made of."""
    parts = [part for kind in type(owner).__mro__ for part in vars(kind).values()]
    found = [getattr(part, "declared", None) for part in parts]
    return [d for d in found if isinstance(d, Declared)]


@dataclass(slots=True)
class DeskCall(Call):
    asked: Asked | None = None
    handler: Handler | None = None


class DeskFrontend:
    """The data plane's front for outside calls of the core."""

    head_status = 431
    half_close = True
    close_refused = False
    most_unread = 1000

    def __init__(self, owner: object, most_body: int) -> None:
        self.owner, self.most_body = owner, most_body
        self.calls = declared(owner)

    def local(self, target: bytes) -> Answer | None:
        return None

    def take(
        self, method: bytes, target: bytes, headers: Headers, body: list[bytes], began: float, peer: str
    ) -> Call | Answer:
        path = target.partition(b"?")[0]
        known = False
        for call in self.calls:
            name = path[len(call.before) :]
            if not path.startswith(call.before) or bool(name) != call.named:
                continue
            known = True
            if call.method == method:
                asked = Asked(name.decode("latin-1"), b"".join(body))
                return DeskCall(
                    b"",
                    time.monotonic() + CALL_TIME,
                    _no_module,
                    _no_module,
                    asked=asked,
                    handler=call.handler,
                )
        raise BadRequest("no such call here; see the calls of backends and operators", 405 if known else 404)

    def refusal(self, error: BadRequest) -> Answer:
        return fault(error.status, str(error))

    def encode(self, answer: Answer, close: bool, call: Call | None) -> bytes:
        top = f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Answer')}\r\n"
        top += f"Content-Length: {len(answer.body)}\r\n"
        if answer.content_type:
            top += f"Content-Type: {answer.content_type.decode()}\r\n"
        if close:
            top += "Connection: close\r\n"
        return top.encode() + b"\r\n" + answer.body


def _no_module(_: float) -> Any:
    raise AssertionError("a call of the core goes to its handler")


def fault(status: int, text: str) -> Answer:
    import msgspec

    return Answer(status, msgspec.json.encode({"error": text}), JSON)


class Desk:
    """Hands calls to their handlers; the server takes it for its host."""

    def __init__(self, owner: object) -> None:
        self.owner = owner
        self.told = Told()
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed = 0

    def as_host(self) -> Host:
        return cast("Host", self)

    def request(self, call: Call, reply: Callable[[Answer], None], over: Callable[[], None]) -> Any:
        assert isinstance(call, DeskCall)
        task = asyncio.get_running_loop().create_task(self.carry(call, reply, over))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return _Taken(self)

    async def carry(self, call: DeskCall, reply: Callable[[Answer], None], over: Callable[[], None]) -> None:
        assert call.handler is not None and call.asked is not None
        try:
            async with asyncio.timeout(CALL_TIME):
                answer = await call.handler(self.owner, call.asked)
        except Exception as error:
            self.failed += 1
            answer = fault(503, f"the call could not be carried: {type(error).__name__}; repeat it")
        reply(answer)
        over()

    def left(self, request: object) -> None:
        """A caller that goes away changes nothing: what it asked is done all the same."""


@dataclass(slots=True)
class _Taken:
    host: Desk
