"""Keyed actions over real processes: each runs once, retries get the same answer, callers keep a backend."""

from __future__ import annotations

import asyncio
from pathlib import Path

from syrupy.assertion import SnapshotAssertion

from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from standins.backend import CLOSE_MARKER, Backend


async def try_action(
    cluster: LocalCluster, proxy: int, key: str, path: str = "/sign/1", body: bytes = b"yes", **headers: str
) -> str:
    """Try an action once, and summarise the answer that its caller gets."""
    answer = await cluster.send_request(
        cluster.proxy_ips[proxy],
        "POST",
        path,
        content=body,
        Idempotency_Key=key,
        **{"Time_Remaining": "1500", **headers},
    )
    if answer is None:
        return "no answer"
    after = " come back" if "retry-after" in answer.headers else ""
    kept = " (kept)" if "idempotent-replayed" in answer.headers else ""
    return f"{answer.status_code}{after}{kept} {answer.text.strip()}"


async def try_until_ended(cluster: LocalCluster, proxy: int, key: str) -> str:
    """Try an action until the core knows that it has ended, which it learns after the answer was sent."""
    while (outcome := await try_action(cluster, proxy, key)).startswith("409"):
        await asyncio.sleep(0.02)
    return outcome


async def start_backends(cluster: LocalCluster, *desks: str) -> list[Backend]:
    """Start the cluster with these backends of the service `desk`, and return them once all proxies serve."""
    await cluster.start_all(initial_start=True)
    backends = [await cluster.start_backend(name, "desk") for name in desks]
    await cluster.start_backend("i-archive", "archive")
    await cluster.put_configuration(build_configuration(1))
    for proxy in cluster.proxy_ips:
        await cluster.wait_until_ready(proxy)
        await cluster.wait_until_served(proxy)
        await cluster.wait_until_served(proxy, "/sign/0")
    for backend in backends:
        backend.executed.clear()
    return backends


def test_an_action_runs_once(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    summary: list[str] = []

    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            (desk,) = await start_backends(cluster, "i-desk")

            async def record_outcomes(title: str, *outcomes: str) -> None:
                summary.append(f"{title}: {' | '.join(outcomes)}; runs {len(desk.executed)}")
                desk.executed.clear()

            await record_outcomes(
                "twice, at two proxies",
                await try_action(cluster, 0, '"a"'),
                await try_until_ended(cluster, 1, '"a"'),
            )
            await record_outcomes("the same key without quotes", await try_action(cluster, 1, "a"))
            await record_outcomes("another body", await try_action(cluster, 0, '"a"', body=b"no"))
            await record_outcomes("another path", await try_action(cluster, 1, '"a"', "/sign/2"))
            await record_outcomes(
                "an empty key, two keys",
                await try_action(cluster, 0, '""'),
                await try_action(cluster, 0, 'a" "b'),
            )
            desk.answer_gate = asyncio.Event()
            first = asyncio.get_running_loop().create_task(try_action(cluster, 0, '"b"'))
            while not desk.executed:
                await asyncio.sleep(0.01)
            second = await try_action(cluster, 1, '"b"')
            desk.answer_gate.set()
            await record_outcomes("while the first request runs", second, await first)
            desk.answer_gate = None
            await record_outcomes(
                "after the first request has ended", await try_until_ended(cluster, 1, '"b"')
            )
            desk.make_answer = lambda ran: CLOSE_MARKER
            await record_outcomes(
                "its answer is lost",
                await try_action(cluster, 0, '"c"'),
                await try_until_ended(cluster, 1, '"c"'),
            )
            desk.make_answer = lambda ran: Backend.encode_answer(500, ran.id, b"no ink")
            await record_outcomes(
                "the backend fails",
                await try_action(cluster, 0, '"d"'),
                await try_until_ended(cluster, 1, '"d"'),
            )
            desk.make_answer = lambda ran: Backend.encode_answer(503, ran.id, headers="Not-Executed: 1\r\n")
            refused = await try_action(cluster, 0, '"e"')
            desk.executed.clear()
            desk.make_answer = lambda ran: None
            await record_outcomes(
                "the backend did not execute it at first", refused, await try_until_ended(cluster, 1, '"e"')
            )
            await record_outcomes(
                "a read needs no key", (await cluster.wait_until_served(cluster.proxy_ips[0])).text
            )

    asyncio.run(scenario())
    assert summary == snapshot


def test_an_answered_action_survives_the_loss_of_the_primary_and_of_all_processes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            (desk,) = await start_backends(cluster, "i-desk")
            assert await try_action(cluster, 0, '"a"') == "200 desk /sign/1"
            assert await try_until_ended(cluster, 1, '"a"') == "200 (kept) desk /sign/1"
            desk.make_answer = lambda ran: CLOSE_MARKER
            assert (await try_action(cluster, 0, '"lost"')).startswith("502")
            desk.make_answer = lambda ran: None
            # A core that had not learnt of the end would answer 409 until the claim's time is over.
            assert (await try_until_ended(cluster, 0, '"lost"')).startswith("502 whether this action ran")
            ran = len(desk.executed)
            log = (tmp_path / "log.txt").read_text()
            primary = log.split("is in force: primary ")[-1].split(",")[0]
            await cluster.kill(primary)
            while (outcome := await try_action(cluster, 1, '"a"')).startswith(("503", "no")):
                await asyncio.sleep(0.02)
            assert outcome == "200 (kept) desk /sign/1"
            await cluster.start(primary)
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.kill(ip)
            await cluster.start_all()
            for proxy in range(2):
                await cluster.wait_until_ready(cluster.proxy_ips[proxy])
                while (outcome := await try_action(cluster, proxy, '"a"')).startswith(("503", "no")):
                    await asyncio.sleep(0.02)
                assert outcome == "200 (kept) desk /sign/1"
                assert (await try_action(cluster, proxy, '"lost"')).startswith("502 whether this action ran")
            assert len(desk.executed) == ran
            # The current primary loses its disk, and comes back empty.
            log = (tmp_path / "log.txt").read_text()
            primary = log.split("is in force: primary ")[-1].split(",")[0]
            await cluster.wipe(primary)
            await cluster.start(primary)
            while (outcome := await try_action(cluster, 0, '"a"')).startswith(("503", "no")):
                await asyncio.sleep(0.02)
            assert outcome == "200 (kept) desk /sign/1" and len(desk.executed) == ran

    asyncio.run(scenario())


# Guards against a second run of an action whose end no core machine had recorded when all processes died.
def test_an_action_whose_end_was_not_recorded_does_not_run_again_after_the_loss_of_all_processes(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            (desk,) = await start_backends(cluster, "i-desk")
            desk.answer_gate = asyncio.Event()
            first = asyncio.get_running_loop().create_task(try_action(cluster, 0, '"lost"'))
            while not desk.executed:
                await asyncio.sleep(0.01)
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.kill(ip)
            desk.answer_gate.set()
            assert await first == "no answer"
            await cluster.start_all()
            for ip in cluster.proxy_ips:
                await cluster.wait_until_served(ip, "/sign/0")
            for proxy in range(2):
                outcome = await try_until_ended(cluster, proxy, '"lost"')
                assert outcome.startswith("502 whether this action ran")
            assert [ran.target for ran in desk.executed].count("/sign/1") == 1

    asyncio.run(scenario())


# Guards against known keys that get 503 after a loss of all processes, until backends have called again.
def test_a_known_key_is_answered_by_its_record_while_its_service_has_no_backend(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            (desk,) = await start_backends(cluster, "i-desk")
            first = await try_action(cluster, 0, '"known"')
            assert first.startswith("200") and (await try_until_ended(cluster, 0, '"known"')) != first
            cluster.heartbeat_tasks.pop(desk.instance).cancel()
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.kill(ip)
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.start(ip)
            for ip in cluster.proxy_ips:
                await cluster.wait_until_served(ip)
            for proxy in range(2):
                assert await try_action(cluster, proxy, '"known"') == first.replace("200", "200 (kept)", 1)
                assert (await try_action(cluster, proxy, '"new"')).startswith("503 come back")
                assert (await try_action(cluster, proxy, '"known"', body=b"no")).startswith("422")
            assert len(desk.executed) == 1

    asyncio.run(scenario())


def test_a_conversation_stays_with_its_backend_at_every_proxy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            desks = await start_backends(cluster, "i-one", "i-two", "i-three")
            settings = {"settings_version": 3, "conversation_header": "X-Matter"}
            for body, status in (
                (settings, 200), ({**settings, "kept_for": "soon"}, 400), ({"kept_for": "1h"}, 400),
                ({**settings, "settings_version": 2}, 200),
            ):  # fmt: skip
                assert (await cluster.call_core("PUT", cluster.core_ips[0], "/conversations", body))[
                    0
                ] == status
            for ip in cluster.core_ips:
                while (await cluster.call_core("GET", ip, "/conversations"))[0] != 200:
                    await asyncio.sleep(0.02)
            used: dict[str, set[str]] = {}
            while "settings 3 of conversations are in force" not in (tmp_path / "log.txt").read_text():
                await asyncio.sleep(0.02)
            for n in range(40):
                matter = f"matter-{n % 8}"
                outcome = await try_action(cluster, n % 2, f'"k-{n}"', f"/sign/{n}", X_Matter=matter)
                assert outcome.startswith("200")
                (by,) = [d.instance for d in desks if any(r.target == f"/sign/{n}" for r in d.executed)]
                used.setdefault(matter, set()).add(by)
            assert all(len(by) == 1 for by in used.values()) and len(set.union(*used.values())) > 1

    asyncio.run(scenario())


def test_an_action_whose_proxy_dies_before_the_answer_has_an_unknown_outcome(tmp_path: Path) -> None:
    """A backend runs the action, but the proxy dies before it stores the answer: no proxy sends it again."""

    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            (desk,) = await start_backends(cluster, "i-desk")
            desk.answer_gate = asyncio.Event()

            async def try_until_sent() -> str:
                """Try an action that a core machine may not be able to claim yet."""
                while (outcome := await try_action(cluster, 0, '"a"', Time_Remaining="600")).startswith(
                    "503"
                ):
                    await asyncio.sleep(0.02)
                return outcome

            first = asyncio.get_running_loop().create_task(try_until_sent())
            while not desk.executed:
                await asyncio.sleep(0.01)
            await cluster.kill(cluster.proxy_ips[0])
            desk.answer_gate.set()
            assert await first == "no answer"
            assert (await try_action(cluster, 1, '"a"')).startswith("409 come back")
            assert (await try_until_ended(cluster, 1, '"a"')).startswith(
                "502 whether this action ran is not known"
            )
            assert len(desk.executed) == 1

    asyncio.run(scenario())
