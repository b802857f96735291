"""LOST: a door that gets SIGTERM ends while clients still read answers; those answers are cut short."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import CONTACT_S, GRACE_S, HOST, KEY, Deployment, Server, main, read_message  # noqa: E402

ANSWER_BYTES = 3_500_000  # a member's photos
LINK_BYTES_PER_S = 750_000  # of a client; the whole answer takes 4.7 s
CLIENTS = 6
TERM_AFTER_S = 0.3  # after the requests were sent


class PhotoServer(Server):
    """Answers with long bodies."""

    capacity = 8

    def answer(self, status: int, what: str, id: str) -> bytes:
        text = f"{self.service} {what} {id} ".encode()
        body = (text * (ANSWER_BYTES // len(text) + 1))[:ANSWER_BYTES]
        return self.encode(status, id, body, f"Server-Seal: s.{id}\r\n")


async def fetch(deployment: Deployment, door: str, id: str) -> tuple[int, int, int, float]:
    """Fetch a long answer over a thin link.

    Returns the status, the body's bytes that were due and that were read, and when it ended.
    """
    record = deployment.record
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)  # links have small windows
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (door, deployment.front_port))
    reader, writer = await asyncio.open_connection(sock=raw, limit=8192)
    record(f"client sends {id} GET /fetch/{id} to {door}")
    writer.write(
        f"GET /fetch/{id} HTTP/1.1\r\nHost: {HOST}\r\nTry-Id: {id}\r\n"
        f"Time-Remaining: {deployment.deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode()
    )
    status = due = got = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        start, fields = await read_message(reader)
        status, due = int(start.split(" ")[1]), int(fields["content-length"])
        began = time.monotonic()
        while got < due and (data := await reader.read(8192)):
            got += len(data)
            await asyncio.sleep(began + got / LINK_BYTES_PER_S - time.monotonic())
    ended = time.monotonic()
    writer.transport.abort()
    record(f"client gets {status} to {id} with {got} of {due} bytes of the body")
    return status, due, got, ended


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    record = deployment.record
    deployment.deadline_ms = 12_000
    deadline_s = deployment.deadline_ms / 1000
    await deployment.start_all()
    await deployment.configure({"/fetch/": ("match-svc", "idempotent")})
    for n in range(2):
        await deployment.add_server(PhotoServer(deployment, f"i-match-{n}", "match-svc"))
    door = deployment.doors[0]
    for each in deployment.doors:
        await deployment.wait_until_ready(each)
    await deployment.wait_until_served("/fetch/warm")
    await asyncio.sleep(CONTACT_S + 1.0)
    sent_at = time.monotonic()
    fetches = [asyncio.create_task(fetch(deployment, door, f"fetch-{n}")) for n in range(CLIENTS)]
    await asyncio.sleep(TERM_AFTER_S)
    term_at = time.monotonic()
    if trouble:
        (process,) = deployment.processes[door]
        process.send_signal(signal.SIGTERM)
        record(f"SIGTERM to the door {door}")

        async def watch() -> None:
            await process.wait()
            record(
                f"the door {door} has ended {time.monotonic() - term_at:.3f} s after SIGTERM,"
                f" grace {GRACE_S} s"
            )

        watching = asyncio.create_task(watch())
    results = await asyncio.gather(*fetches)
    if trouble:
        await asyncio.wait([watching], timeout=GRACE_S)
    return [
        f"LOST fetch-{n}: {got} of {due} bytes of a {status}; cut {ended - term_at:.3f} s after SIGTERM,"
        f" {deadline_s - (ended - sent_at):.3f} s before the deadline"
        for n, (status, due, got, ended) in enumerate(results)
        if got < due and ended - sent_at < deadline_s and ended - term_at < GRACE_S + 1.0
    ]


if __name__ == "__main__":
    sys.exit(main(FOLDER, scenario, cores=3, doors=2))
