"""A blocking client of etcd's JSON gateway with endpoint failover, authentication and time-outs."""

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
    Json,
    OutcomeUnknown,
    Unauthenticated,
    Unreachable,
    WatchResponse,
    decode_watch,
    number,
    store_error,
)
from ivymux.desired.model import StoreBusy, StoreDamaged, StoreError

MAX_ANSWER_BYTES = 64 << 20
MAX_LINE_BYTES = 16 << 20  # of one response of a watch
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.02  # before the first retry; doubled before each further one


@dataclass(frozen=True, slots=True)
class Access:
    """The endpoints of etcd, and the credentials to use."""

    endpoints: tuple[str, ...]
    username: str = ""
    password: str = ""
    ca: str = ""  # a file of CA certificates; empty for the system's
    cert: str = ""  # the files of this client's certificate and private key
    key: str = ""
    timeout: float = 2.0  # seconds for one call

    def __repr__(self) -> str:  # without the password, which must not reach a log
        return f"Access({self.endpoints}, {self.username!r})"


class Client:
    """Calls etcd at the endpoint that answered last, and at the others if it fails."""

    def __init__(self, access: Access) -> None:
        """Raises StoreError if the certificates can't be read."""
        self.access = access
        verify: ssl.SSLContext | bool = True
        if any(e.startswith("https:") for e in access.endpoints):
            try:
                verify = ssl.create_default_context(cafile=access.ca or None)
                if access.cert:
                    verify.load_cert_chain(access.cert, access.key or None)
            except (OSError, ssl.SSLError) as error:
                raise StoreError(f"etcd's certificates can't be read: {error}") from None
        timeout = httpx.Timeout(access.timeout, connect=min(CONNECT_TIMEOUT_S, access.timeout))
        # The machine's HTTP proxies are for external hosts, not for the installation's own etcd.
        self.http = httpx.Client(verify=verify, timeout=timeout, trust_env=False)
        self.first = 0  # index of the endpoint that answered last
        self.token = ""

    def close(self) -> None:
        self.http.close()

    def call(self, path: str, body: Json) -> Json:
        """Make one call; an endpoint that can't be reached is skipped.

        Raises OutcomeUnknown if the call may have been carried out, another StoreError if it was not.
        """
        last: StoreError = Unreachable("etcd is away")
        for offset in range(len(self.access.endpoints)):
            at = (self.first + offset) % len(self.access.endpoints)
            try:
                found = self.post_authorized(self.access.endpoints[at], path, body)
            except OutcomeUnknown:
                self.first = (at + 1) % len(self.access.endpoints)
                raise
            except StoreBusy as error:
                last = error
                continue
            self.first = at
            return found
        raise last

    def read(self, path: str, body: Json) -> Json:
        """Make an idempotent call, with retries.

        A call without an answer is retried at the other endpoints.  While etcd elects a leader, the call is
        retried until the time-out of one call has passed.
        """
        deadline, delay = time.monotonic() + self.access.timeout, RETRY_DELAY_S
        attempt = 0
        while True:
            attempt += 1
            try:
                return self.call(path, body)
            except StoreBusy as error:
                try_others = attempt < len(self.access.endpoints) and isinstance(error, OutcomeUnknown)
                if not try_others and (
                    isinstance(error, Unreachable) or time.monotonic() + delay >= deadline
                ):
                    raise StoreBusy(str(error)) from None
            if not try_others:
                time.sleep(delay)
                delay *= 2

    def post_authorized(self, endpoint: str, path: str, body: Json) -> Json:
        """Send one request with a valid token, after a login if needed."""
        if self.access.username and not self.token:
            self.login(endpoint)
        try:
            return self.post(endpoint, path, body)
        except Unauthenticated:
            if not self.access.username:
                raise
            self.login(endpoint)  # tokens expire
            return self.post(endpoint, path, body)

    def login(self, endpoint: str) -> None:
        """Get a token for the username and password.  Raises StoreError."""
        body = {"name": self.access.username, "password": self.access.password}
        try:
            found = self.post(endpoint, "/v3/auth/authenticate", body)
        except OutcomeUnknown as error:
            raise StoreBusy(str(error)) from None  # a login changes nothing
        except (Unauthenticated, StoreBusy):
            raise
        except StoreError:
            raise StoreError("etcd takes neither this user nor its password") from None
        self.token = str(found.get("token", ""))

    def post(self, endpoint: str, path: str, body: Json) -> Json:
        """Send one request to one endpoint.  Raises StoreError."""
        headers = {"Authorization": self.token} if self.token else {}
        try:
            with self.http.stream("POST", endpoint + path, json=body, headers=headers) as answer:
                data = bytearray()
                for part in answer.iter_bytes():
                    data += part
                    if len(data) > MAX_ANSWER_BYTES:
                        raise StoreDamaged("etcd's answer exceeds the size limit")
                return self.parse_answer(answer.status_code, bytes(data))
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            raise Unreachable(f"etcd is away at {endpoint}") from None
        except httpx.TimeoutException:
            raise OutcomeUnknown(f"etcd did not answer in time at {endpoint}") from None
        except httpx.HTTPError as error:
            raise OutcomeUnknown(f"etcd at {endpoint} broke off: {type(error).__name__}") from None

    def parse_answer(self, status: int, data: bytes) -> Json:
        """Decode an answer.  Raises the StoreError of a status other than 200."""
        try:
            found = json.loads(data)
        except ValueError:
            found = None
        if not isinstance(found, dict):
            # An intermediate proxy may have forwarded the call.
            raise OutcomeUnknown(f"what answers for etcd is not its JSON gateway (status {status})")
        if status != 200:
            raise store_error(number(found.get("code")), str(found.get("message") or found.get("error", "")))
        return found

    @contextlib.contextmanager
    def watch(self, body: Json) -> Iterator[tuple[Iterator[WatchResponse], Callable[[], None]]]:
        """Open a watch; yield its responses, and a function that ends the watch from another thread.

        Raises StoreError.
        """
        endpoint = self.access.endpoints[self.first]
        if self.access.username and not self.token:
            self.login(endpoint)
        headers = {"Authorization": self.token} if self.token else {}
        try:
            with self.http.stream("POST", endpoint + "/v3/watch", json=body, headers=headers) as answer:
                if answer.status_code != 200:
                    self.parse_answer(answer.status_code, answer.read())
                # The watch has started, so no read time-out applies: without changes there are no responses.
                # The caller checks with range requests whether the watch still works.
                answer.request.extensions["timeout"]["read"] = None
                yield self.watch_responses(answer), lambda: shut_down(answer)
        except Unauthenticated:
            self.token = ""
            raise
        except httpx.HTTPError as error:
            raise StoreBusy(f"etcd's watch at {endpoint} was interrupted: {type(error).__name__}") from None

    def watch_responses(self, answer: httpx.Response) -> Iterator[WatchResponse]:
        """Decode the lines of a watch stream."""
        buffer = bytearray()
        for part in answer.iter_bytes():
            buffer += part
            if len(buffer) > MAX_LINE_BYTES:
                raise StoreDamaged("a response of etcd's watch exceeds the size limit")
            *lines, rest = bytes(buffer).split(b"\n")
            buffer = bytearray(rest)
            for line in lines:
                if line.strip():
                    yield decode_watch(parse_line(line))
        if buffer.strip():  # the last line may lack a newline
            yield decode_watch(parse_line(bytes(buffer)))


def shut_down(answer: httpx.Response) -> None:
    """Shut down a connection that another thread reads from, so that its read ends at once."""
    with contextlib.suppress(OSError, KeyError):
        answer.extensions["network_stream"].get_extra_info("socket").shutdown(socket.SHUT_RDWR)


def parse_line(line: bytes) -> Any:
    """Decode a line of a watch stream.  Raises StoreError."""
    try:
        found = json.loads(line)
    except ValueError:
        raise StoreBusy("etcd's watch was interrupted in the middle of a response") from None
    if not isinstance(found, dict):
        raise StoreDamaged("etcd's watch can't be read: is this its JSON gateway?")
    return found
