"""Starved: backends that crash and are back at their addresses one second later get no requests any more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from stack import (  # noqa: E402
    Backend,
    CannotRun,
    Stack,
    client_request,
    configuration,
    route,
    run_case,
    spawn,
)  # fmt: skip

DOWN_S = 1.0  # for which the backends are down
RECOVERY_S = 15.0  # `recovery`: what is sent later counts here
WATCHED_S = 45.0  # from the moment at which the backends are back
KINDS = {"sign": ("POST", "approvals-desk"), "read": ("GET", "minutes-archive")}


async def main(record, trouble, stacks) -> bool:
    stack = Stack(cores=3, proxies=2, record=record)
    stacks.append(stack)
    await stack.start()
    routes = [
        route("sign", "/sign/", "approvals-desk", "non_idempotent", 1500),
        route("read", "/read/", "minutes-archive", "idempotent", 1200),
    ]
    if not await stack.put_configuration(configuration(1, routes, ["approvals-desk", "minutes-archive"])):
        raise CannotRun("no configuration")
    ip = stack.cores[0].ip.rsplit(".", 2)[0] + ".3.1"
    desks = [Backend(stack, "approvals-desk", f"i-desk{n}-1", ip) for n in range(3)]
    others = [Backend(stack, "minutes-archive", f"i-archive{n}", ip) for n in range(3)]
    for backend in (*desks, *others):
        await backend.start()
    await stack.until_ready()
    await asyncio.sleep(4.0)
    results: list[tuple[float, str, int | None]] = []  # when sent, kind, status

    async def one(kind: str, number: int) -> None:
        method, _ = KINDS[kind]
        sent, name = time.monotonic(), f"{kind}{number:05d}"
        got = await client_request(stack.proxies[number % 2], method, f"/{kind}/a", name, 1200, b"")
        results.append((sent, kind, got[0] if got else None))
        record(f"client: {name}: {got[0] if got else None}")

    async def clients() -> None:
        number = 0
        while True:
            number += 1
            for kind in KINDS:
                spawn(one(kind, number))
            await asyncio.sleep(0.05)

    traffic = asyncio.ensure_future(clients())
    await asyncio.sleep(4.0)
    if trouble:
        for backend in desks:
            backend.end("crashes")
        await asyncio.sleep(DOWN_S)
        for backend in desks:
            name = backend.id.rsplit("-", 1)[0] + "-2"  # every start of a backend is a new life with a new id
            await Backend(stack, "approvals-desk", name, ip, backend.port).start()
    back_at = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    traffic.cancel()
    await asyncio.sleep(1.5)
    later = [(kind, status) for sent, kind, status in results if sent > back_at + RECOVERY_S]
    served = {
        kind: sum(k == kind and s == 200 for k, s in later) / max(1, sum(k == kind for k, _ in later))
        for kind in KINDS
    }
    share = sum(s == 200 for _, s in later) / max(1, len(later))
    record(f"{len(later)} requests were sent later than {RECOVERY_S:g} s after the backends were back")
    record(f"of these were served: {served}; of all: {share:.2f}")
    return served["sign"] < share / 4


run_case(main, FOLDER)
