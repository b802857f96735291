"""A stand-in for etcd v3 behind its JSON gateway, with scripted faults.

Written from the published API: keys with revisions, ranges, transactions, watches, leases, compaction and
users.  It has one member and keeps everything in memory.  It answers as the JSON gateway does: 64-bit numbers
as strings, fields with their default value omitted, errors as `{"error", "message", "code"}`.
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
MAX_REQUEST_BYTES = 1536 * 1024  # --max-request-bytes
MAX_OPERATIONS = 128  # --max-txn-ops


class EtcdError(Exception):
    """An error answer; `code` is a gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        self.code, self.message = code, f"etcdserver: {message}"
        super().__init__(message)


# The HTTP status for each gRPC status code.
HTTP_STATUSES = {3: 400, 5: 404, 7: 403, 8: 429, 9: 400, 11: 400, 14: 503, 16: 401}


@dataclass
class KeyVersion:
    """A key as of one revision; `value` is None if it was deleted."""

    mod_revision: int
    create_revision: int
    version: int
    value: bytes | None
    lease: int = 0


@dataclass
class Lease:
    """A lease with the keys attached to it."""

    ttl: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Watch:
    """A watch of a range; the queue gets the changed keys with their revision, and None at the end."""

    key: bytes
    range_end: bytes
    queue: asyncio.Queue[list[tuple[int, bytes]] | None]


@dataclass
class Faults:
    """The faults, in force until they are changed."""

    partition: bool = False  # calls are not answered, connections stay open
    disconnect: bool = False  # connections are closed without an answer
    delay: float = 0.0  # seconds before each answer
    unanswered_txns: int = 0  # number of transactions to apply without an answer
    lost_txns: int = 0  # number of transactions to neither apply nor answer
    no_space: bool = False  # the alarm NOSPACE is raised
    mute_watches: bool = False  # watches stay open without events
    refuse_watches: bool = False  # refuses watches; other calls are served
    watches_to_hang: int = 0  # number of watches that never begin
    truncate_watch: bool = False  # ends the next message of a watch in the middle
    unavailable_calls: int = 0  # number of calls to answer with "leader changed"


class Etcd:
    """The state of etcd; all methods run in the server's event loop."""

    def __init__(self, users: dict[str, str] | None = None) -> None:
        self.users = users or {}
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.watches: list[Watch] = []
        self.reset()

    def reset(self) -> None:
        """Start without data, as after the loss of the data directory."""
        self.revision = 1
        self.compacted = 0
        self.versions: dict[bytes, list[KeyVersion]] = {}
        self.all_keys: list[bytes] = []  # sorted, with the deleted ones
        self.changed_keys: dict[int, list[bytes]] = {}  # by revision
        self.leases: dict[int, Lease] = {}
        self.tokens: set[str] = set()
        self.end_watches()

    def end_watches(self) -> None:
        """End all watches, as when a member leaves."""
        for watch in self.watches:
            watch.queue.put_nowait(None)
        self.watches = []

    def header(self) -> Json:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision), "raft_term": "2"}

    # --- keys ------------------------------------------------------------------------------------------

    def keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        """Return the keys from `key` to before `end`, deleted ones too.

        An empty `end` means `key` alone; a zero byte as `end` means no upper bound.
        """
        if not end:
            return [key] if key in self.versions else []
        begin = 0 if key == b"\0" else bisect_left(self.all_keys, key)
        return (
            self.all_keys[begin:] if end == b"\0" else self.all_keys[begin : bisect_left(self.all_keys, end)]
        )

    def version_at(self, key: bytes, revision: int) -> KeyVersion | None:
        """Return a key's version as of a revision; None if it did not exist."""
        versions = self.versions.get(key, [])
        found = bisect_right(versions, revision, key=lambda v: v.mod_revision)
        version = versions[found - 1] if found else None
        return version if version is not None and version.value is not None else None

    def encode_kv(self, key: bytes, version: KeyVersion, keys_only: bool = False) -> Json:
        kv = {"key": b64encode(key).decode(), "create_revision": str(version.create_revision),
              "mod_revision": str(version.mod_revision), "version": str(version.version)}  # fmt: skip
        if version.value and not keys_only:
            kv["value"] = b64encode(version.value).decode()
        if version.lease:
            kv["lease"] = str(version.lease)
        return kv

    def range(self, message: Json) -> Json:
        revision = int(message.get("revision", 0)) or self.revision
        if revision > self.revision:
            raise EtcdError(11, "mvcc: required revision is a future revision")
        if revision < self.compacted:
            raise EtcdError(11, "mvcc: required revision has been compacted")
        names = self.keys_in_range(decode_field(message, "key"), decode_field(message, "range_end"))
        found = [
            (name, version) for name in names if (version := self.version_at(name, revision)) is not None
        ]
        if message.get("sort_target", "KEY") == "CREATE":
            found.sort(key=lambda pair: pair[1].create_revision)
        if message.get("sort_order") == "DESCEND":
            found.reverse()
        answer: Json = {"header": self.header()}
        if found:
            answer["count"] = str(len(found))
        if message.get("count_only"):
            return answer
        limit = int(message.get("limit", 0))
        if limit and len(found) > limit:
            answer["more"], found = True, found[:limit]
        if found:
            answer["kvs"] = [self.encode_kv(*pair, bool(message.get("keys_only"))) for pair in found]
        return answer

    def write_version(self, key: bytes, value: bytes | None, revision: int, lease: int = 0) -> bool:
        """Add a version of a key, or its deletion if `value` is None; return whether the key changed."""
        previous = self.version_at(key, revision)
        if value is None and previous is None:
            return False
        if key not in self.versions:
            self.versions[key] = []
            self.all_keys.insert(bisect_left(self.all_keys, key), key)
        if previous is not None and previous.lease in self.leases:
            self.leases[previous.lease].keys.discard(key)
        if lease:
            if lease not in self.leases:
                raise EtcdError(5, "requested lease not found")
            self.leases[lease].keys.add(key)
        create_revision, number = (
            (previous.create_revision, previous.version + 1) if previous is not None else (revision, 1)
        )
        self.versions[key].append(KeyVersion(revision, create_revision, number, value, lease))
        self.changed_keys.setdefault(revision, []).append(key)
        return True

    def commit(self, apply: Callable[[int], Json]) -> Json:
        """Apply changes as one revision, and send them to the watches as one event."""
        revision = self.revision + 1
        answer = apply(revision)
        if revision in self.changed_keys:
            self.revision = revision
            for watch in [] if self.faults.mute_watches else self.watches:
                keys = [n for n in self.changed_keys[revision] if is_in_range(n, watch.key, watch.range_end)]
                if keys:
                    watch.queue.put_nowait([(revision, n) for n in keys])
        answer["header"] = self.header()
        return answer

    def put(self, message: Json) -> Json:
        if self.faults.no_space:
            raise EtcdError(8, "mvcc: database space exceeded")

        def apply(revision: int) -> Json:
            self.write_version(
                decode_field(message, "key"),
                decode_field(message, "value"),
                revision,
                int(message.get("lease", 0)),
            )
            return {}

        return self.commit(apply)

    def delete_range(self, message: Json, revision: int) -> Json:
        keys = self.keys_in_range(decode_field(message, "key"), decode_field(message, "range_end"))
        count = sum(self.write_version(name, None, revision) for name in keys)
        return {"deleted": str(count)} if count else {}

    # --- transactions ----------------------------------------------------------------------------------

    def comparison_holds(self, compare: Json) -> bool:
        """Return whether a comparison of a transaction holds."""
        version = self.version_at(decode_field(compare, "key"), self.revision)
        match compare.get("target", "VERSION"):
            case "MOD":
                actual, expected = version.mod_revision if version else 0, int(compare.get("mod_revision", 0))
            case "CREATE":
                actual, expected = (
                    version.create_revision if version else 0,
                    int(compare.get("create_revision", 0)),
                )
            case "VERSION":
                actual, expected = version.version if version else 0, int(compare.get("version", 0))
            case _:
                raise EtcdError(3, "this comparison is not supported by the stand-in")
        results = {"EQUAL": actual == expected, "GREATER": actual > expected, "LESS": actual < expected,
                   "NOT_EQUAL": actual != expected}  # fmt: skip
        return results[compare.get("result", "EQUAL")]

    def txn(self, message: Json) -> Json:
        success, failure = message.get("success", []), message.get("failure", [])
        if max(len(message.get("compare", [])), len(success), len(failure)) > MAX_OPERATIONS:
            raise EtcdError(3, "too many operations in txn request")
        for branch in (success, failure):
            check_duplicate_keys(branch)
        succeeded = all(self.comparison_holds(c) for c in message.get("compare", []))
        operations = success if succeeded else failure
        if self.faults.no_space and any("request_put" in op for op in operations):
            raise EtcdError(8, "mvcc: database space exceeded")

        def apply(revision: int) -> Json:
            responses = []
            for op in operations:
                if "request_range" in op:
                    responses.append({"response_range": self.range(op["request_range"])})
                elif "request_put" in op:
                    put = op["request_put"]
                    self.write_version(
                        decode_field(put, "key"),
                        decode_field(put, "value"),
                        revision,
                        int(put.get("lease", 0)),
                    )
                    responses.append({"response_put": {"header": {"revision": str(revision)}}})
                else:
                    deleted = self.delete_range(op["request_delete_range"], revision)
                    responses.append({"response_delete_range": deleted})
            return ({"succeeded": True} if succeeded else {}) | (
                {"responses": responses} if responses else {}
            )

        return self.commit(apply)

    def compact(self, message: Json) -> Json:
        """Forget the versions that are outdated at a revision."""
        at = int(message["revision"])
        if at <= self.compacted:
            raise EtcdError(11, "mvcc: required revision has been compacted")
        self.compacted = at
        for revision in [r for r in self.changed_keys if r < at]:
            del self.changed_keys[revision]
        for versions in self.versions.values():
            keep = bisect_right(versions, at, key=lambda v: v.mod_revision) - 1
            del versions[: max(0, keep)]
        return {"header": self.header()}

    # --- leases ----------------------------------------------------------------------------------------

    def grant(self, message: Json) -> Json:
        lease_id = int(message.get("ID", 0)) or secrets.randbits(62)
        ttl = int(message["TTL"])
        self.leases[lease_id] = Lease(ttl, time.monotonic() + ttl)
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl)}

    def keepalive(self, message: Json) -> Json:
        lease_id = int(message["ID"])
        result: Json = {"header": self.header(), "ID": str(lease_id)}
        if (lease := self.leases.get(lease_id)) is not None:
            lease.expires_at = time.monotonic() + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def revoke(self, message: Json) -> Json:
        lease = self.leases.pop(int(message["ID"]), None)
        if lease is None:
            raise EtcdError(5, "requested lease not found")

        def apply(revision: int) -> Json:
            for name in sorted(lease.keys):
                self.write_version(name, None, revision)
            return {}

        return self.commit(apply)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live is over."""
        for lease_id in [n for n, lease in self.leases.items() if lease.expires_at <= time.monotonic()]:
            self.revoke({"ID": str(lease_id)})

    # --- watches ---------------------------------------------------------------------------------------

    def encode_event(self, key: bytes, revision: int) -> Json:
        version = next(v for v in self.versions[key] if v.mod_revision == revision)
        if version.value is None:
            return {"type": "DELETE", "kv": {"key": b64encode(key).decode(), "mod_revision": str(revision)}}
        return {"kv": self.encode_kv(key, version)}

    def watch_response(self, changed: list[tuple[int, bytes]], revision: int) -> Json:
        header = self.header() | {"revision": str(revision)}
        return {
            "result": {"header": header, "events": [self.encode_event(name, mod) for mod, name in changed]}
        }

    async def watch(self, message: Json) -> AsyncIterator[bytes]:
        """Yield the lines of a watch's answer as the changes happen."""
        create = message["create_request"]
        key, range_end = decode_field(create, "key"), decode_field(create, "range_end")
        start = int(create.get("start_revision", 0))
        watch = Watch(key, range_end, asyncio.Queue())
        yield encode_line({"result": {"header": self.header(), "created": True}})
        if start and start <= self.compacted:
            reason = "mvcc: required revision has been compacted"
            yield encode_line({"result": {
                "header": self.header(), "canceled": True, "compact_revision": str(self.compacted),
                "cancel_reason": reason,
            }})  # fmt: skip
            return
        for at in sorted(r for r in self.changed_keys if start and r >= start):
            if names := [n for n in self.changed_keys[at] if is_in_range(n, key, range_end)]:
                watch.queue.put_nowait([(at, n) for n in names])
        self.watches.append(watch)
        try:
            while (changed := await watch.queue.get()) is not None:
                # A watch that starts at a future revision sends no earlier events.
                if changed[0][0] < start:
                    continue
                data = encode_line(self.watch_response(changed, changed[0][0]))
                if self.faults.truncate_watch:
                    self.faults.truncate_watch = False
                    yield data[: len(data) // 2]
                    return
                yield data
        finally:
            if watch in self.watches:
                self.watches.remove(watch)

    def authenticate(self, message: Json) -> Json:
        if not self.users or self.users.get(message.get("name", "")) != message.get("password"):
            raise EtcdError(3, "authentication failed, invalid user ID or password")
        token = secrets.token_hex(8)
        self.tokens.add(token)
        return {"header": self.header(), "token": token}


def decode_field(message: Json, name: str) -> bytes:
    """Return a decoded base64 field; empty if it is missing.  Raises EtcdError."""
    try:
        return b64decode(message.get(name, ""), validate=True)
    except ValueError:
        raise EtcdError(3, f"{name} is not valid base64") from None


def is_in_range(candidate: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range, as `Etcd.keys_in_range` defines it."""
    return (
        candidate == key
        if not range_end
        else key <= candidate and (range_end == b"\0" or candidate < range_end)
    )


def check_duplicate_keys(operations: list[Json]) -> None:
    """Raise EtcdError if a transaction puts a key twice, or both puts and deletes it."""
    puts = [decode_field(op["request_put"], "key") for op in operations if "request_put" in op]
    if len(set(puts)) < len(puts):
        raise EtcdError(3, "duplicate key given in txn request")
    for op in operations:
        if (deletes := op.get("request_delete_range")) is not None:
            key, range_end = decode_field(deletes, "key"), decode_field(deletes, "range_end")
            if any(is_in_range(put, key, range_end) for put in puts):
                raise EtcdError(3, "duplicate key given in txn request")


def encode_line(value: Json) -> bytes:
    return json.dumps(value).encode() + b"\n"


class EtcdServer:
    """The JSON gateway on a free loopback port, in its own thread; faults may be set from any thread."""

    def __init__(self, users: dict[str, str] | None = None, ssl: dict[str, Any] | None = None) -> None:
        self.etcd = Etcd(users)
        # asyncio sets TCP_NODELAY only if the socket names its protocol; without that option each answer
        # waits 40 ms for an ACK.
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
        routes = [
            Route(path, self.make_endpoint(path, work), methods=["POST"]) for path, work in paths.items()
        ]
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

    def start(self) -> EtcdServer:
        self.thread.start()
        while not self.server.started:
            if not self.thread.is_alive():
                raise RuntimeError("the etcd stand-in exited while starting")
            time.sleep(0.005)
        return self

    def run(self) -> None:
        asyncio.run(self.main())

    async def main(self) -> None:
        self.loop = asyncio.get_running_loop()
        expiry_task = self.loop.create_task(self.expire_leases_periodically())
        await self.server.serve(sockets=[self.socket])
        expiry_task.cancel()

    async def expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.etcd.expire_leases()

    def stop(self) -> None:
        self.etcd.faults = Faults()  # lets hanging calls continue
        self.run_on_loop(self.etcd.reset)
        self.server.should_exit = self.server.force_exit = True
        self.thread.join(5)

    def run_on_loop(self, function: Callable[[], Any]) -> Any:
        """Run a function in the server's event loop, and return its result."""

        async def call() -> Any:
            return function()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(5)

    # --- calls -----------------------------------------------------------------------------------------

    def make_endpoint(self, path: str, handle: Callable[[Json], Json]) -> Callable[[Request], Any]:
        """Return the endpoint of a path, which handles a call and injects the faults."""

        async def answer(request: Request) -> Response:
            faults = self.etcd.faults
            self.etcd.calls[path] = self.etcd.calls.get(path, 0) + 1
            self.etcd.expire_leases()
            try:
                message = await self.read_message(request, path)
                is_change = path == "/v3/kv/txn" and bool(message.get("compare"))
                if is_change and faults.lost_txns:
                    faults.lost_txns -= 1
                    return await self.wait_for_disconnect(request)
                if faults.unavailable_calls:
                    faults.unavailable_calls -= 1
                    raise EtcdError(14, "leader changed")
                result = handle(message)
                if is_change and faults.unanswered_txns:
                    faults.unanswered_txns -= 1
                    return await self.wait_for_disconnect(request)
                return JSONResponse(result)
            except EtcdError as error:
                return error_response(error)

        return answer

    async def read_message(self, request: Request, path: str) -> Json:
        """Return the decoded body of a call, after the faults that affect all calls.  Raises EtcdError."""
        faults, body = self.etcd.faults, await request.body()
        if faults.disconnect:
            raise ConnectionResetError
        while faults.partition and not await request.is_disconnected():
            await asyncio.sleep(0.01)
        if faults.delay:
            await asyncio.sleep(faults.delay)
        if len(body) > MAX_REQUEST_BYTES * 4 // 3:
            raise EtcdError(3, "request is too large")
        skips_auth = not self.etcd.users or path == "/v3/auth/authenticate"
        if not skips_auth and request.headers.get("authorization", "") not in self.etcd.tokens:
            raise EtcdError(16, "invalid auth token")
        try:
            message = json.loads(body)
        except ValueError:
            raise EtcdError(3, "the body is not valid JSON") from None
        assert isinstance(message, dict)
        return message

    async def wait_for_disconnect(self, request: Request) -> Response:
        """Send no answer until the client disconnects."""
        while not await request.is_disconnected():
            await asyncio.sleep(0.01)
        return Response()

    async def watch(self, request: Request) -> Response:
        try:
            message = await self.read_message(request, "/v3/watch")
            if self.etcd.faults.watches_to_hang:
                self.etcd.faults.watches_to_hang -= 1
                return await self.wait_for_disconnect(request)
            if self.etcd.faults.refuse_watches:
                raise EtcdError(14, "no leader")
        except EtcdError as error:
            return error_response(error)
        return StreamingResponse(self.etcd.watch(message), media_type="application/json")


def error_response(error: EtcdError) -> Response:
    body = {"error": error.message, "message": error.message, "code": error.code}
    return JSONResponse(body, HTTP_STATUSES.get(error.code, 500))


@contextlib.contextmanager
def etcd_server(
    users: dict[str, str] | None = None, ssl: dict[str, Any] | None = None
) -> Iterator[EtcdServer]:
    """Run a server during the context.  `ssl`: options of uvicorn for TLS."""
    server = EtcdServer(users, ssl)
    server.start()
    try:
        yield server
    finally:
        server.stop()
