"""Trials over real processes: requests of one caller fail at every proxy, no others do; what ends a trial."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from syrupy.assertion import SnapshotAssertion

from ivymux.fault_injection.request_matcher import LEASE_S
from ivymux.fault_injection.trial_set import key_digest
from ivymux.simulation.local_cluster import LocalCluster, build_configuration, local_cluster
from ivymux.trial_command import summary_line
from standins.backend import Backend

CALLERS = {"clerks": "key-one", "clerks-hall": "key-one-more", "chairs": "key-two"}  # two share a prefix


def configuration() -> dict[str, Any]:
    built = build_configuration(1)
    built["tenant_table"] = [
        {"name": name, "api_keys": [key, f"{key}-b"], "rate_per_s": 500, "burst_size": 500}
        for name, key in CALLERS.items()
    ]
    return built


async def start_cluster(cluster: LocalCluster) -> Backend:
    """Start the cluster, wait until all proxies serve, and return the backend of the service `desk`."""
    await cluster.start_all(initial_start=True)
    await cluster.start_backend("i-read", "archive")
    desk = await cluster.start_backend("i-desk", "desk")
    await cluster.put_configuration(configuration())
    for proxy in cluster.proxy_ips:
        await cluster.wait_until_ready(proxy)
        await cluster.wait_until_served(proxy)
        await cluster.wait_until_served(proxy, "/sign/first")
    desk.executed.clear()
    return desk


async def start_trial(
    cluster: LocalCluster, name: str, caller: str = "clerks", core: int = 0, **fields: Any
) -> dict[str, Any]:
    """Start a trial, and wait until it is in force at both proxies."""
    body = {"caller": caller, "by": "ann", "why": "to see it fail", **fields}
    status, answer = await cluster.call_core("PUT", cluster.core_ips[core], f"/trials/{name}", body)
    assert status == 200, answer
    while len((result := await trial_report(cluster, name, core))["in_force_at"]) < 2:
        await asyncio.sleep(0.02)
    return result


async def trial_report(cluster: LocalCluster, name: str, core: int = 0) -> dict[str, Any]:
    while True:
        status, answer = await cluster.call_core("GET", cluster.core_ips[core], f"/trials/{name}")
        if status == 200:
            return dict(json.loads(answer))
        await asyncio.sleep(0.02)


async def end_trial(cluster: LocalCluster, name: str, core: int = 0) -> None:
    status, _ = await cluster.call_core(
        "DELETE", cluster.core_ips[core], f"/trials/{name}", {"by": "bo", "why": "enough"}
    )
    assert status == 200


async def answer_to(
    cluster: LocalCluster, proxy: int, caller: str, path: str = "/read/1", **headers: str
) -> str:
    """Send a request of a caller, or with a key of its own, and summarise the answer."""
    key = CALLERS.get(caller, caller)
    answer = await cluster.send_request(cluster.proxy_ips[proxy], "GET", path, key, b"", **headers)
    if answer is None:
        return "closed"
    after = answer.headers.get("retry-after")
    return (
        f"{answer.status_code}" + (f", come back in {after} s" if after else "") + f" {answer.text.strip()}"
    )


def test_trials_affect_only_their_caller(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    summary: list[str] = []

    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            desk = await start_cluster(cluster)

            async def record_answers(
                title: str, path: str = "/read/1", callers: tuple[str, ...] = tuple(CALLERS)
            ) -> None:
                summary.append(title)
                for proxy in range(2):
                    for caller in callers:
                        summary.append(
                            f"  {caller} at proxy {proxy}: {await answer_to(cluster, proxy, caller, path)}"
                        )

            for body, what in (
                ({}, "an empty body"), ({"caller": "clerk"}, "an unknown tenant"),
                ({"caller": "*"}, "all callers"),
                ({"caller": "clerks", "lasts": "2h"}, "too long"),
                ({"caller": "clerks", "does": "burn"}, "an unknown fault"),
                ({"caller": "clerks", "status": 500}, "a status that may follow an execution"),
                ({"caller": "clerks", "share": 0}, "a share of 0"),
                ({"caller": "clerks", "route": "none"}, "an unknown route"),
                ({"caller": "clerks", "key_digest": key_digest(b"key-two")[:16]}, "another's key"),
                ({"caller": "clerks", "delay": "1s"}, "a delay with another fault"),
            ):  # fmt: skip
                sent = {"by": "ann", "why": "to see it fail", **body} if body else {}
                status, answer = await cluster.call_core("PUT", cluster.core_ips[0], "/trials/t", sent)
                summary.append(f"{what}: {status} {json.loads(answer)['error']}")
            sent = {"caller": "clerks", "by": "ann", "why": "to see it fail", "dry_run": True}
            assert (await cluster.call_core("PUT", cluster.core_ips[0], "/trials/dry", sent))[0] == 200
            assert (await cluster.call_core("GET", cluster.core_ips[0], "/trials/dry"))[0] == 404

            await start_trial(cluster, "t-refuse", status=429, retry_after="2s")
            await record_answers("refused")
            status, answer = await cluster.call_core(
                "PUT", cluster.core_ips[1], "/trials/other", {"caller": "clerks", "by": "ann", "why": "more"}
            )
            summary.append(f"a second trial of the same caller: {status} {json.loads(answer)['error']}")
            # A retry after a lost answer.
            again = {
                "caller": "clerks", "by": "ann", "why": "to see it fail", "status": 429, "retry_after": "2s",
            }  # fmt: skip
            reply = await cluster.call_core("PUT", cluster.core_ips[2], "/trials/t-refuse", again)
            assert reply[0] == 200
            assert (await cluster.call_core("DELETE", cluster.core_ips[1], "/trials/t-refuse", {}))[0] == 400
            while (await trial_report(cluster, "t-refuse", 1))["caught"] < 2:
                await asyncio.sleep(0.02)
            await end_trial(cluster, "t-refuse", 1)
            await record_answers("ended")
            summary.append(summary_line(await trial_report(cluster, "t-refuse", 2)))

            await start_trial(
                cluster, "t-key", key_digest=key_digest(b"key-one-b")[:20], route="sign", does="close"
            )
            await record_answers(
                "connections closed, for one key on one route", "/sign/1", ("clerks", "key-one-b", "chairs")
            )
            await record_answers("the same callers on the other route", "/read/1", ("clerks", "key-one-b"))
            await end_trial(cluster, "t-key")
            assert (
                sum("key-one-b" in str(ran.headers) for ran in desk.executed) == 0 and len(desk.executed) == 4
            )

            desk.executed.clear()
            await start_trial(cluster, "t-lose", does="lose", route="sign")
            await record_answers("executed, and the answer lost", "/sign/2", ("clerks", "chairs"))
            assert len(desk.executed) == 4
            keyed = await answer_to(cluster, 0, "clerks", "/sign/k", Idempotency_Key="k")
            summary.append(f"an action with a key: {keyed}")
            await end_trial(cluster, "t-lose")
            result = await answer_to(cluster, 1, "clerks", "/sign/k", Idempotency_Key="k")
            summary.append(f"sent again after the trial: {result}")
            assert len(desk.executed) == 5

            await start_trial(cluster, "t-delay", does="delay", delay="400ms")
            began = asyncio.get_running_loop().time()
            assert (await answer_to(cluster, 0, "chairs")).startswith("200")
            undelayed_s = asyncio.get_running_loop().time() - began
            assert (await answer_to(cluster, 0, "clerks")).startswith("200")
            assert asyncio.get_running_loop().time() - began - undelayed_s >= 0.4
            await end_trial(cluster, "t-delay")
            status, answer = await cluster.call_core("GET", cluster.core_ips[0], "/trials")
            result = json.loads(answer)
            summary.append(f"listed: {[t['name'] for t in result['past']]}, running {result['running']}")
            log = (tmp_path / "log.txt").read_text()
            assert not any(key in log for key in CALLERS.values()) and key_digest(b"key-one") not in log

    asyncio.run(scenario())
    assert summary == snapshot


def test_a_trial_survives_the_loss_of_the_leader_and_a_proxy_and_ends_on_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, timeout_s=60.0) as cluster:
            await start_cluster(cluster)
            await start_trial(cluster, "t", lasts="30s")
            primary = cluster.primary_ip()
            await cluster.kill(primary)
            await cluster.kill(cluster.proxy_ips[0])
            await cluster.start(cluster.proxy_ips[0])
            await cluster.wait_until_ready(cluster.proxy_ips[0])
            core = next(n for n, ip in enumerate(cluster.core_ips) if ip != primary)
            while len((await trial_report(cluster, "t", core))["in_force_at"]) < 2:
                await asyncio.sleep(0.02)
            for proxy in range(2):
                assert (await answer_to(cluster, proxy, "clerks")).startswith("503")
                assert (await answer_to(cluster, proxy, "clerks-hall")).startswith("200")
            await end_trial(cluster, "t", core)
            await start_trial(cluster, "short", core=core, lasts="2s")
            while "ended" not in (result := await trial_report(cluster, "short", core)):
                await asyncio.sleep(0.02)
            assert result["ended_by"] == "ivymux" and result["ended"] - result["at"] < 2.0 + LEASE_S
            assert (await answer_to(cluster, 0, "clerks")).startswith("200")

    asyncio.run(scenario())


def test_proxies_without_a_core_end_a_trial(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            await start_cluster(cluster)
            await start_trial(cluster, "t")
            for ip in cluster.core_ips:
                await cluster.kill(ip)
            killed_at = asyncio.get_running_loop().time()
            while not (await answer_to(cluster, 0, "clerks")).startswith("200"):
                await asyncio.sleep(0.02)
            assert asyncio.get_running_loop().time() - killed_at < LEASE_S + 0.5
            for ip in cluster.core_ips:
                await cluster.start(ip)
            while not (await answer_to(cluster, 0, "clerks")).startswith(
                "503"
            ):  # the core is back and the trial in force again
                await asyncio.sleep(0.02)
            assert (await answer_to(cluster, 0, "chairs")).startswith("200")

    asyncio.run(scenario())
