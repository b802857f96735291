"""TWICE: a long request that a server runs is sent to another one after its answer is lost by a reset."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "1"))  # the stand-ins of all cases

from harness import CONTACT_S, Client, Deployment, Server, main, reset  # noqa: E402

LONG_BODY = bytes(4 << 20)  # of the 64 MiB that `max_body_bytes` allows
FIRST_PART = 16384
CLIENTS, REQUESTS_EACH = 8, 20
LOST_SHARE = 0.05  # `answer_lost` with `reset` on the site file: `x` 0.05 of the requests that a server ran,
LOSING_SERVERS, LOSING_S = 2, 4.0  # `share` 0.5 of the servers, `for_s` 4


class EarlyServer(Server):
    """Begins to work on a long request with its first part, answers it, and reads the rest later."""

    loses_answers_until = 0.0
    lost = 0

    async def run(
        self, what: str, id: str, length: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first = min(length, FIRST_PART)
        await reader.readexactly(first)
        self.begin(what, id)
        await asyncio.sleep(self.work_s)
        if (
            time.monotonic() < self.loses_answers_until
            and length > first
            and self.lost + 1 <= LOST_SHARE * len(self.runs)
        ):
            self.lost += 1
            self.record(f"server {self.instance} ran {id}; its answer is lost by a reset")
            reset(writer)
            return
        writer.write(self.answer(200, what, id))
        await writer.drain()
        await reader.readexactly(length - first)


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    await deployment.start_all()
    await deployment.configure(
        {"/renew/": ("billing-svc", "non_idempotent"), "/read/": ("browse-svc", "idempotent")}
    )
    servers = [
        await deployment.add_server(EarlyServer(deployment, f"i-bill-{n}", "billing-svc")) for n in range(4)
    ]
    await deployment.add_server(Server(deployment, "i-browse", "browse-svc"))
    for door in deployment.doors:
        await deployment.wait_until_ready(door)
    await deployment.wait_until_served("/read/x")
    await asyncio.sleep(CONTACT_S + 1.0)  # calm for longer than `contact`
    for server in servers[:LOSING_SERVERS]:
        server.loses_answers_until = time.monotonic() + LOSING_S if trouble else 0.0
    answers: dict[str, int] = {}

    async def use(number: int) -> None:
        client = Client(deployment, deployment.doors[number % len(deployment.doors)])
        for n in range(REQUESTS_EACH):
            id = f"renew-{number}-{n}"
            # Every fifth renewal of a client has a long annex.
            body = LONG_BODY if n % 5 == 4 else b"membership"
            answers[id] = (await client.ask(id, "POST", f"/renew/{id}", body))[0]
            await asyncio.sleep(0.05)
        client.close()

    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    runs = Counter(id for server in servers for id in server.runs)
    lost = sum(server.lost for server in servers)
    deployment.record(f"{len(answers)} requests, {sum(runs.values())} runs, {lost} answers lost")
    broken = [f"TWICE {id} ran {n} times, answered {answers.get(id)}" for id, n in runs.items() if n > 1]
    broken += [
        f"REFUSED {id} was answered {status} and has run"
        for id, status in answers.items()
        if status in (408, 421, 429, 503) and runs[id]
    ]
    return broken


if __name__ == "__main__":
    sys.exit(main(FOLDER, scenario, cores=3, doors=2))
