"""A stand-in of etcd v3 behind its JSON gateway, written from the published API: keys with revisions, ranges,
transactions, watches, leases, compaction, users; and faults that are scripted.

In memory, one member.  It answers as the gateway does: 64-bit numbers as texts, fields at their default left
out, errors as `{"error", "message", "code"}`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import socket
import threading
import time
from base64 import b64decode, b64encode
from bisect import bisect_left, bisect_right
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

Json = dict[str, Any]
MAX_REQUEST = 1536 * 1024  # bytes, --max-request-bytes
MAX_OPERATIONS = 128  # --max-txn-ops


class Refused(Exception):
    def __init__(self, code: int, message: str) -> None:
        self.code, self.message = code, f"etcdserver: {message}"
        super().__init__(message)


STATUS = {3: 400, 5: 404, 7: 403, 8: 429, 9: 400, 11: 400, 14: 503, 16: 401}


@dataclass
class Version:
    """A key as of one revision; without a value it was deleted."""

    mod: int
    create: int
    version: int
    value: bytes | None
    lease: int = 0


@dataclass
class Lease:
    life: int
    ends: float
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Watch:
    key: bytes
    end: bytes
    queue: asyncio.Queue[list[tuple[int, bytes]] | None]


@dataclass
class Faults:
    """What goes wrong, until it is set back."""

    partition: bool = False  # nothing is answered, connections stay
    refuse: bool = False  # connections end without an answer
    slow: float = 0.0  # seconds before each answer
    unanswered: int = 0  # so many transactions that are made and not answered
    lost: int = 0  # so many transactions that are neither made nor answered
    full: bool = False  # the alarm NOSPACE
    mute_watches: bool = False  # watches stay open and tell nothing
    no_watch: bool = False  # watches are refused, all else is served
    hang_watch: int = 0  # so many watches that never begin
    cut_watch: bool = False  # the next answer of a watch ends in the middle
    unavailable: int = 0  # so many calls that are answered with "leader changed"


class Etcd:
    """The state; all methods run in the server's loop."""

    def __init__(self, users: dict[str, str] | None = None) -> None:
        self.users = users or {}
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.watches: list[Watch] = []
        self.reset()

    def reset(self) -> None:
        """Begin anew, as after the loss of the data folder."""
        self.revision = 1
        self.compacted = 0
        self.versions: dict[bytes, list[Version]] = {}
        self.names: list[bytes] = []  # all keys that ever were, sorted
        self.log: dict[int, list[bytes]] = {}  # which keys each revision changed
        self.leases: dict[int, Lease] = {}
        self.tokens: set[str] = set()
        self.end_watches()

    def end_watches(self) -> None:
        """All watches' connections end, as when a member goes."""
        for watch in self.watches:
            watch.queue.put_nowait(None)
        self.watches = []

    def header(self) -> Json:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    # --- keys ------------------------------------------------------------------------------------------

    def names_in(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self.versions else []
        begin = 0 if key == b"\0" else bisect_left(self.names, key)
        return self.names[begin:] if end == b"\0" else self.names[begin : bisect_left(self.names, end)]

    def seen(self, name: bytes, at: int) -> Version | None:
        versions = self.versions.get(name, [])
        found = bisect_right(versions, at, key=lambda v: v.mod)
        version = versions[found - 1] if found else None
        return version if version is not None and version.value is not None else None

    def shown(self, name: bytes, version: Version, keys_only: bool = False) -> Json:
        made = {"key": b64encode(name).decode(), "create_revision": str(version.create),
                "mod_revision": str(version.mod), "version": str(version.version)}  # fmt: skip
        if version.value and not keys_only:
            made["value"] = b64encode(version.value).decode()
        if version.lease:
            made["lease"] = str(version.lease)
        return made

    def range(self, asked: Json) -> Json:
        at = int(asked.get("revision", 0)) or self.revision
        if at > self.revision:
            raise Refused(11, "mvcc: required revision is a future revision")
        if at < self.compacted:
            raise Refused(11, "mvcc: required revision has been compacted")
        names = self.names_in(data(asked, "key"), data(asked, "range_end"))
        found = [(name, version) for name in names if (version := self.seen(name, at)) is not None]
        if asked.get("sort_target", "KEY") == "CREATE":
            found.sort(key=lambda pair: pair[1].create)
        if asked.get("sort_order") == "DESCEND":
            found.reverse()
        answer: Json = {"header": self.header()}
        if found:
            answer["count"] = str(len(found))
        if asked.get("count_only"):
            return answer
        limit = int(asked.get("limit", 0))
        if limit and len(found) > limit:
            answer["more"], found = True, found[:limit]
        if found:
            answer["kvs"] = [self.shown(*pair, bool(asked.get("keys_only"))) for pair in found]
        return answer

    def write(self, name: bytes, value: bytes | None, at: int, lease: int = 0) -> bool:
        before = self.seen(name, at)
        if value is None and before is None:
            return False
        if name not in self.versions:
            self.versions[name] = []
            self.names.insert(bisect_left(self.names, name), name)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(name)
        if lease:
            if lease not in self.leases:
                raise Refused(5, "requested lease not found")
            self.leases[lease].keys.add(name)
        create, number = (before.create, before.version + 1) if before is not None else (at, 1)
        self.versions[name].append(Version(at, create, number, value, lease))
        self.log.setdefault(at, []).append(name)
        return True

    def change(self, work: Callable[[int], Json]) -> Json:
        """Changes of one revision, told to the watches as one."""
        at = self.revision + 1
        answer = work(at)
        if at in self.log:
            self.revision = at
            for watch in [] if self.faults.mute_watches else self.watches:
                names = [n for n in self.log[at] if inside(n, watch.key, watch.end)]
                if names:
                    watch.queue.put_nowait([(at, n) for n in names])
        answer["header"] = self.header()
        return answer

    def put(self, asked: Json) -> Json:
        if self.faults.full:
            raise Refused(8, "mvcc: database space exceeded")

        def work(at: int) -> Json:
            self.write(data(asked, "key"), data(asked, "value"), at, int(asked.get("lease", 0)))
            return {}

        return self.change(work)

    def delete_at(self, asked: Json, at: int) -> Json:
        names = self.names_in(data(asked, "key"), data(asked, "range_end"))
        count = sum(self.write(name, None, at) for name in names)
        return {"deleted": str(count)} if count else {}

    # --- transactions ----------------------------------------------------------------------------------

    def holds(self, compare: Json) -> bool:
        version = self.seen(data(compare, "key"), self.revision)
        match compare.get("target", "VERSION"):
            case "MOD":
                have, wanted = version.mod if version else 0, int(compare.get("mod_revision", 0))
            case "CREATE":
                have, wanted = version.create if version else 0, int(compare.get("create_revision", 0))
            case "VERSION":
                have, wanted = version.version if version else 0, int(compare.get("version", 0))
            case _:
                raise Refused(3, "this comparison is not served by the stand-in")
        results = {"EQUAL": have == wanted, "GREATER": have > wanted, "LESS": have < wanted,
                   "NOT_EQUAL": have != wanted}  # fmt: skip
        return results[compare.get("result", "EQUAL")]

    def txn(self, asked: Json) -> Json:
        success, failed = asked.get("success", []), asked.get("failure", [])
        if max(len(asked.get("compare", [])), len(success), len(failed)) > MAX_OPERATIONS:
            raise Refused(3, "too many operations in txn request")
        for branch in (success, failed):
            check_puts(branch)
        succeeded = all(self.holds(c) for c in asked.get("compare", []))
        operations = success if succeeded else failed
        if self.faults.full and any("request_put" in op for op in operations):
            raise Refused(8, "mvcc: database space exceeded")

        def work(at: int) -> Json:
            responses = []
            for op in operations:
                if "request_range" in op:
                    responses.append({"response_range": self.range(op["request_range"])})
                elif "request_put" in op:
                    put = op["request_put"]
                    self.write(data(put, "key"), data(put, "value"), at, int(put.get("lease", 0)))
                    responses.append({"response_put": {"header": {"revision": str(at)}}})
                else:
                    deleted = self.delete_at(op["request_delete_range"], at)
                    responses.append({"response_delete_range": deleted})
            return ({"succeeded": True} if succeeded else {}) | (
                {"responses": responses} if responses else {}
            )

        return self.change(work)

    def compact(self, asked: Json) -> Json:
        at = int(asked["revision"])
        if at <= self.compacted:
            raise Refused(11, "mvcc: required revision has been compacted")
        self.compacted = at
        for revision in [r for r in self.log if r < at]:
            del self.log[revision]
        for versions in self.versions.values():
            keep = bisect_right(versions, at, key=lambda v: v.mod) - 1
            del versions[: max(0, keep)]
        return {"header": self.header()}

    # --- leases ----------------------------------------------------------------------------------------

    def grant(self, asked: Json) -> Json:
        number = int(asked.get("ID", 0)) or secrets.randbits(62)
        life = int(asked["TTL"])
        self.leases[number] = Lease(life, time.monotonic() + life)
        return {"header": self.header(), "ID": str(number), "TTL": str(life)}

    def keepalive(self, asked: Json) -> Json:
        number = int(asked["ID"])
        found: Json = {"header": self.header(), "ID": str(number)}
        if (lease := self.leases.get(number)) is not None:
            lease.ends = time.monotonic() + lease.life
            found["TTL"] = str(lease.life)
        return {"result": found}

    def revoke(self, asked: Json) -> Json:
        lease = self.leases.pop(int(asked["ID"]), None)
        if lease is None:
            raise Refused(5, "requested lease not found")

        def work(at: int) -> Json:
            for name in sorted(lease.keys):
                self.write(name, None, at)
            return {}

        return self.change(work)

    def expire(self) -> None:
        for number in [n for n, lease in self.leases.items() if lease.ends <= time.monotonic()]:
            self.revoke({"ID": str(number)})

    # --- watches ---------------------------------------------------------------------------------------

    def event(self, name: bytes, at: int) -> Json:
        version = next(v for v in self.versions[name] if v.mod == at)
        if version.value is None:
            return {"type": "DELETE", "kv": {"key": b64encode(name).decode(), "mod_revision": str(at)}}
        return {"kv": self.shown(name, version)}

    def told(self, changed: list[tuple[int, bytes]], at: int) -> Json:
        header = self.header() | {"revision": str(at)}
        return {"result": {"header": header, "events": [self.event(name, mod) for mod, name in changed]}}

    async def watch(self, asked: Json) -> AsyncIterator[bytes]:
        """The lines of one watch, each told when it happens."""
        create = asked["create_request"]
        key, end = data(create, "key"), data(create, "range_end")
        start = int(create.get("start_revision", 0))
        watch = Watch(key, end, asyncio.Queue())
        yield line({"result": {"header": self.header(), "created": True}})
        if start and start <= self.compacted:
            reason = "mvcc: required revision has been compacted"
            yield line({"result": {
                "header": self.header(), "canceled": True, "compact_revision": str(self.compacted),
                "cancel_reason": reason,
            }})  # fmt: skip
            return
        for at in sorted(r for r in self.log if start and r >= start):
            if names := [n for n in self.log[at] if inside(n, key, end)]:
                watch.queue.put_nowait([(at, n) for n in names])
        self.watches.append(watch)
        try:
            while (changed := await watch.queue.get()) is not None:
                # One that began at a revision yet to come tells nothing before it.
                if changed[0][0] < start:
                    continue
                text = line(self.told(changed, changed[0][0]))
                if self.faults.cut_watch:
                    self.faults.cut_watch = False
                    yield text[: len(text) // 2]
                    return
                yield text
        finally:
            if watch in self.watches:
                self.watches.remove(watch)

    def authenticate(self, asked: Json) -> Json:
        if not self.users or self.users.get(asked.get("name", "")) != asked.get("password"):
            raise Refused(3, "authentication failed, invalid user ID or password")
        token = secrets.token_hex(8)
        self.tokens.add(token)
        return {"header": self.header(), "token": token}


def data(asked: Json, name: str) -> bytes:
    try:
        return b64decode(asked.get(name, ""), validate=True)
    except ValueError:
        raise Refused(3, f"{name} is no base64") from None


def inside(name: bytes, key: bytes, end: bytes) -> bool:
    return name == key if not end else key <= name and (end == b"\0" or name < end)


def check_puts(operations: list[Json]) -> None:
    """A key may be put once in a transaction, and not both put and deleted."""
    puts = [data(op["request_put"], "key") for op in operations if "request_put" in op]
    if len(set(puts)) < len(puts):
        raise Refused(3, "duplicate key given in txn request")
    for op in operations:
        if (deletes := op.get("request_delete_range")) is not None:
            key, end = data(deletes, "key"), data(deletes, "range_end")
            if any(inside(put, key, end) for put in puts):
                raise Refused(3, "duplicate key given in txn request")


def line(value: Json) -> bytes:
    return json.dumps(value).encode() + b"\n"


class Server:
    """The gateway on a port of its own, in a thread of its own; faults may be set from any thread."""

    def __init__(self, users: dict[str, str] | None = None, ssl: dict[str, Any] | None = None) -> None:
        self.etcd = Etcd(users)
        # With its protocol named asyncio sets TCP_NODELAY; without that each answer waits 40 ms for an ACK.
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = int(self.socket.getsockname()[1])
        self.scheme = "https" if ssl else "http"
        paths = {
            "/v3/kv/range": self.etcd.range, "/v3/kv/put": self.etcd.put, "/v3/kv/txn": self.etcd.txn,
            "/v3/kv/compaction": self.etcd.compact, "/v3/lease/grant": self.etcd.grant,
            "/v3/lease/keepalive": self.etcd.keepalive, "/v3/lease/revoke": self.etcd.revoke,
            "/v3/auth/authenticate": self.etcd.authenticate,
        }  # fmt: skip
        routes = [Route(path, self.endpoint(path, work), methods=["POST"]) for path, work in paths.items()]
        routes.append(Route("/v3/watch", self.watch, methods=["POST"]))
        config = uvicorn.Config(
            Starlette(routes=routes), log_level="critical", access_log=False, lifespan="off",
            timeout_graceful_shutdown=0, ws="none", **(ssl or {}),
        )  # fmt: skip
        self.server = uvicorn.Server(config)
        self.thread = threading.Thread(target=self.run, daemon=True)

    @property
    def endpoint_url(self) -> str:
        return f"{self.scheme}://127.0.0.1:{self.port}"

    def start(self) -> Server:
        self.thread.start()
        while not self.server.started:
            if not self.thread.is_alive():
                raise RuntimeError("the stand-in ended")
            time.sleep(0.005)
        return self

    def run(self) -> None:
        asyncio.run(self.main())

    async def main(self) -> None:
        self.loop = asyncio.get_running_loop()
        expiring = self.loop.create_task(self.expiring())
        await self.server.serve(sockets=[self.socket])
        expiring.cancel()

    async def expiring(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.etcd.expire()

    def stop(self) -> None:
        self.etcd.faults = Faults()  # what hangs goes on
        self.on_loop(self.etcd.reset)
        self.server.should_exit = self.server.force_exit = True
        self.thread.join(5)

    def on_loop(self, work: Callable[[], Any]) -> Any:
        """Run something where the state lives."""

        async def call() -> Any:
            return work()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(5)

    # --- calls -----------------------------------------------------------------------------------------

    def endpoint(self, path: str, work: Callable[[Json], Json]) -> Callable[[Request], Any]:
        async def answer(request: Request) -> Response:
            faults = self.etcd.faults
            self.etcd.calls[path] = self.etcd.calls.get(path, 0) + 1
            self.etcd.expire()
            try:
                asked = await self.read(request, path)
                is_change = path == "/v3/kv/txn" and bool(asked.get("compare"))
                if is_change and faults.lost:
                    faults.lost -= 1
                    return await self.hang(request)
                if faults.unavailable:
                    faults.unavailable -= 1
                    raise Refused(14, "leader changed")
                done = work(asked)
                if is_change and faults.unanswered:
                    faults.unanswered -= 1
                    return await self.hang(request)
                return JSONResponse(done)
            except Refused as error:
                return refusal(error)

        return answer

    async def read(self, request: Request, path: str) -> Json:
        faults, body = self.etcd.faults, await request.body()
        if faults.refuse:
            raise ConnectionResetError
        while faults.partition and not await request.is_disconnected():
            await asyncio.sleep(0.01)
        if faults.slow:
            await asyncio.sleep(faults.slow)
        if len(body) > MAX_REQUEST * 4 // 3:
            raise Refused(3, "request is too large")
        named = not self.etcd.users or path == "/v3/auth/authenticate"
        if not named and request.headers.get("authorization", "") not in self.etcd.tokens:
            raise Refused(16, "invalid auth token")
        try:
            asked = json.loads(body)
        except ValueError:
            raise Refused(3, "the body is no JSON") from None
        assert isinstance(asked, dict)
        return asked

    async def hang(self, request: Request) -> Response:
        """No answer, for as long as the caller waits."""
        while not await request.is_disconnected():
            await asyncio.sleep(0.01)
        return Response()

    async def watch(self, request: Request) -> Response:
        try:
            asked = await self.read(request, "/v3/watch")
            if self.etcd.faults.hang_watch:
                self.etcd.faults.hang_watch -= 1
                return await self.hang(request)
            if self.etcd.faults.no_watch:
                raise Refused(14, "no leader")
        except Refused as error:
            return refusal(error)
        return StreamingResponse(self.etcd.watch(asked), media_type="application/json")


def refusal(error: Refused) -> Response:
    body = {"error": error.message, "message": error.message, "code": error.code}
    return JSONResponse(body, STATUS.get(error.code, 500))


@contextlib.contextmanager
def serving(users: dict[str, str] | None = None, ssl: dict[str, Any] | None = None) -> Iterator[Server]:
    server = Server(users, ssl)
    server.start()
    try:
        yield server
    finally:
        server.stop()
