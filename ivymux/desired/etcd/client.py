"""Calls to etcd's JSON gateway: endpoints in turn, tokens, time limits.  Blocks; used from threads."""

from __future__ import annotations

import contextlib
import json
import socket
import ssl
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import httpx

from ivymux.desired.etcd.wire import (
    Away,
    Json,
    Unauthenticated,
    Unknown,
    Watched,
    failure,
    number,
    read_watch,
)
from ivymux.desired.model import StoreBusy, StoreDamaged, StoreError

MAX_ANSWER = 64 << 20  # bytes
MAX_LINE = 16 << 20  # bytes of one answer of a watch
CONNECT = 1.0  # seconds
PAUSE = 0.02  # seconds before a call is made again, doubled each time


@dataclass(frozen=True, slots=True)
class Access:
    """Where etcd is and who asks."""

    endpoints: tuple[str, ...]
    username: str = ""
    password: str = ""
    ca: str = ""  # a file; empty: those that the system trusts
    cert: str = ""  # files of this client's certificate and its key
    key: str = ""
    timeout: float = 2.0  # seconds for one call

    def __repr__(self) -> str:  # a password must not reach a log
        return f"Access({self.endpoints}, {self.username!r})"


class Client:
    def __init__(self, access: Access) -> None:
        """Raises StoreError where the certificates can't be read."""
        self.access = access
        verify: ssl.SSLContext | bool = True
        if any(e.startswith("https:") for e in access.endpoints):
            try:
                verify = ssl.create_default_context(cafile=access.ca or None)
                if access.cert:
                    verify.load_cert_chain(access.cert, access.key or None)
            except (OSError, ssl.SSLError) as error:
                raise StoreError(f"etcd's certificates can't be read: {error}") from None
        timeout = httpx.Timeout(access.timeout, connect=min(CONNECT, access.timeout))
        # The machine's proxies are for the world outside, not for the installation's own etcd.
        self.http = httpx.Client(verify=verify, timeout=timeout, trust_env=False)
        self.first = 0  # the endpoint that answered last
        self.token = ""

    def close(self) -> None:
        self.http.close()

    def call(self, path: str, body: Json) -> Json:
        """One call.  Raises Unknown where it may have been done and no answer came, other StoreErrors where
        it was not done.
        """
        last: StoreError = Away("etcd is away")
        for turn in range(len(self.access.endpoints)):
            at = (self.first + turn) % len(self.access.endpoints)
            try:
                found = self.authorized(self.access.endpoints[at], path, body)
            except Unknown:
                self.first = (at + 1) % len(self.access.endpoints)
                raise
            except StoreBusy as error:
                last = error
                continue
            self.first = at
            return found
        raise last

    def read(self, path: str, body: Json) -> Json:
        """A call that changes nothing, or the same however often it is made: one without an answer goes to
        the other endpoints too, and while etcd chooses a leader it is made again within one call's time.
        """
        end, pause = time.monotonic() + self.access.timeout, PAUSE
        turn = 0
        while True:
            turn += 1
            try:
                return self.call(path, body)
            except StoreBusy as error:
                others = turn < len(self.access.endpoints) and isinstance(error, Unknown)
                if not others and (isinstance(error, Away) or time.monotonic() + pause >= end):
                    raise StoreBusy(str(error)) from None
            if not others:
                time.sleep(pause)
                pause *= 2

    def authorized(self, endpoint: str, path: str, body: Json) -> Json:
        if self.access.username and not self.token:
            self.login(endpoint)
        try:
            return self.post(endpoint, path, body)
        except Unauthenticated:
            if not self.access.username:
                raise
            self.login(endpoint)  # tokens end by themselves
            return self.post(endpoint, path, body)

    def login(self, endpoint: str) -> None:
        body = {"name": self.access.username, "password": self.access.password}
        try:
            found = self.post(endpoint, "/v3/auth/authenticate", body)
        except Unknown as error:
            raise StoreBusy(str(error)) from None  # nothing was changed by it
        except (Unauthenticated, StoreBusy):
            raise
        except StoreError:
            raise StoreError("etcd takes neither this user nor its password") from None
        self.token = str(found.get("token", ""))

    def post(self, endpoint: str, path: str, body: Json) -> Json:
        headers = {"Authorization": self.token} if self.token else {}
        try:
            with self.http.stream("POST", endpoint + path, json=body, headers=headers) as answer:
                data = bytearray()
                for part in answer.iter_bytes():
                    data += part
                    if len(data) > MAX_ANSWER:
                        raise StoreDamaged("etcd's answer has no end")
                return self.answer(answer.status_code, bytes(data))
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            raise Away(f"etcd is away at {endpoint}") from None
        except httpx.TimeoutException:
            raise Unknown(f"etcd did not answer in time at {endpoint}") from None
        except httpx.HTTPError as error:
            raise Unknown(f"etcd at {endpoint} broke off: {type(error).__name__}") from None

    def answer(self, status: int, data: bytes) -> Json:
        try:
            found = json.loads(data)
        except ValueError:
            found = None
        if not isinstance(found, dict):
            # What stands before it (a proxy) may have passed the call on.
            raise Unknown(f"what answers for etcd is not its JSON gateway (status {status})")
        if status != 200:
            raise failure(number(found.get("code")), str(found.get("message") or found.get("error", "")))
        return found

    @contextlib.contextmanager
    def watch(self, body: Json) -> Iterator[tuple[Iterator[Watched], Callable[[], None]]]:
        """A watch's answers as they come, and what ends it from another thread.  Raises StoreError."""
        endpoint = self.access.endpoints[self.first]
        if self.access.username and not self.token:
            self.login(endpoint)
        headers = {"Authorization": self.token} if self.token else {}
        try:
            with self.http.stream("POST", endpoint + "/v3/watch", json=body, headers=headers) as answer:
                if answer.status_code != 200:
                    self.answer(answer.status_code, answer.read())
                # It has begun in time.  From here on nothing comes where nothing changes; whether it still
                # lives is seen by reads beside it.
                answer.request.extensions["timeout"]["read"] = None
                yield self.answers(answer), lambda: end(answer)
        except Unauthenticated:
            self.token = ""
            raise
        except httpx.HTTPError as error:
            raise StoreBusy(f"etcd's watch at {endpoint} broke off: {type(error).__name__}") from None

    def answers(self, answer: httpx.Response) -> Iterator[Watched]:
        held = bytearray()
        for part in answer.iter_bytes():
            held += part
            if len(held) > MAX_LINE:
                raise StoreDamaged("an answer of etcd's watch has no end")
            *lines, rest = bytes(held).split(b"\n")
            held = bytearray(rest)
            for line in lines:
                if line.strip():
                    yield read_watch(parsed(line))
        if held.strip():  # the gateway's lines need not end in one
            yield read_watch(parsed(bytes(held)))


def end(answer: httpx.Response) -> None:
    """End a connection that another thread reads from: that hears of it at once."""
    with contextlib.suppress(OSError, KeyError):
        answer.extensions["network_stream"].get_extra_info("socket").shutdown(socket.SHUT_RDWR)


def parsed(line: bytes) -> Any:
    try:
        found = json.loads(line)
    except ValueError:
        raise StoreBusy("etcd's watch broke off in the middle of an answer") from None
    if not isinstance(found, dict):
        raise StoreDamaged("etcd's watch can't be read: is this its JSON gateway?")
    return found
