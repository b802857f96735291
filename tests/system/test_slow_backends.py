"""Repeatable requests at slow backends, over real processes: the first whole answer is passed on."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import LATE_MARKER, Backend, ExecutedRequest, RequestObserver

USUAL_REQUESTS = 30  # answered at once, from which the proxy learns the usual latency
SLOW_S = 1.4  # until the first backend answers; the client waits for 2 s
MAX_CANCEL_S = 0.5  # within which work that is no longer needed ends
SLOW_ID = "slow"


class FirstRunIsSlow(RequestObserver):
    """The first run of the slow request takes `first_s`; later ones do not end in time."""

    def __init__(self, first_s: float) -> None:
        self.first_s, self.runs = first_s, 0

    def on_request(self, request: ExecutedRequest) -> float:
        if request.id != SLOW_ID:
            return 0.0
        self.runs += 1
        return self.first_s if self.runs == 1 else 10 * SLOW_S


async def start_with_slow_backends(
    cluster: LocalCluster, observer: RequestObserver
) -> tuple[str, list[Backend]]:
    """Start a proxy and two backends that share an observer; let the proxy learn the usual latency."""
    await cluster.start_all(initial_start=True)
    backends = [await cluster.start_backend(f"i-{n}", "archive") for n in range(2)]
    await cluster.put_configuration(build_configuration(1))
    proxy = cluster.proxy_ips[0]
    await cluster.wait_until_served(proxy)
    while not all(backend.executed for backend in backends):
        await cluster.send_request(proxy)
    for _ in range(USUAL_REQUESTS):
        await cluster.send_request(proxy)
    for backend in backends:
        backend.observer = observer
    return proxy, backends


async def wait_until_dropped(backends: list[Backend]) -> None:
    """Wait until one backend has dropped the slow request."""
    async with asyncio.timeout(MAX_CANCEL_S):
        while not any(SLOW_ID in backend.disconnected for backend in backends):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("is_in_pieces", [False, True], ids=["late", "in pieces"])
@pytest.mark.parametrize("stops", [False, True], ids=["calm", "SIGTERM"])
def test_a_request_at_a_slow_backend_is_not_broken_off_for_an_answer_of_the_proxys_own(
    tmp_path: Path, stops: bool, is_in_pieces: bool
) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            observer = FirstRunIsSlow(0.0 if is_in_pieces else SLOW_S)
            proxy, backends = await start_with_slow_backends(cluster, observer)

            def answer_in_pieces(request: ExecutedRequest) -> bytes | None:
                whole = backends[0].default_answer(request)
                return whole[:-3] + LATE_MARKER + whole[-3:] if request.id == SLOW_ID else None

            for backend in backends if is_in_pieces else ():
                backend.make_answer, backend.late_s = answer_in_pieces, SLOW_S
            asking = asyncio.ensure_future(cluster.send_request(proxy, Try_Id=SLOW_ID))
            while not observer.runs:
                await asyncio.sleep(0.005)
            if stops:
                cluster.send_signal(proxy, signal.SIGTERM)
            answer = await asking
            assert answer is not None and answer.status_code == 200
            assert answer.headers["server-seal"] == f"seal-{SLOW_ID}"
            if observer.runs > 1:  # the further copy, which no longer matters
                await wait_until_dropped(backends)

    asyncio.run(scenario())
