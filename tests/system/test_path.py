"""The system end to end, over real processes on loopback, as operators, backends and clients see it."""

from __future__ import annotations

import asyncio
import json
import re
import signal
from pathlib import Path

from syrupy.assertion import SnapshotAssertion

from ivymux.simulation.local_cluster import build_configuration, local_cluster
from standins.backend import CLOSE_MARKER, Backend, ExecutedRequest


def test_normal_operation(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    summary: list[str] = []

    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            await cluster.start(
                cluster.proxy_ips[0], initial_start=True
            )  # a proxy that starts before any core machine
            for ip in reversed(cluster.core_ips):
                await cluster.start(ip, initial_start=True)
            await cluster.start(cluster.proxy_ips[1], initial_start=True)
            archive, desk = (
                await cluster.start_backend("i-archive", "archive"),
                await cluster.start_backend("i-desk", "desk"),
            )
            assert not await cluster.is_ready(cluster.proxy_ips[0])

            text = json.dumps(build_configuration(7)).encode()
            for name, body in (
                ("a complete one", text), ("the same at another machine", text),
                ("one byte short", text[:-1]),
                ("a later one, invalid", json.dumps(build_configuration(9, read="nobody")).encode()),
                ("an older one", json.dumps(build_configuration(3, read="desk")).encode()),
            ):  # fmt: skip
                status, response = await cluster.put_configuration(
                    body, cluster.core_ips[len(summary) % 3 :] + cluster.core_ips
                )
                summary.append(f"PUT /configuration, {name} -> {status} {response.decode()}")
            summary.append(f"GET /configuration -> as sent: {await cluster.read_configuration() == text}")
            for proxy in cluster.proxy_ips:
                await cluster.wait_until_ready(proxy)
                await cluster.wait_until_served(proxy)
                await cluster.wait_until_served(proxy, "/sign/1")
            archive.executed.clear()
            desk.executed.clear()
            answer = await cluster.send_request(
                cluster.proxy_ips[1],
                "POST",
                "/sign/9?x=1",
                Tenant_Name="chairs",
                Connection="x-mine",
                X_Mine="1",
                X_Own="2",
            )
            assert answer is not None
            (ran,) = desk.executed
            sealed = "server-seal" in answer.headers
            summary.append(f"POST /sign/9?x=1 -> {answer.status_code} {answer.text}; seal {sealed}")
            kept = sorted(set(ran.headers) - {"accept", "accept-encoding", "user-agent", "host"})
            summary.append(
                f"the backend sees {ran.method} {ran.target}, {kept}, tenant {ran.headers['tenant-name']}"
            )
            for what, path, key in (
                ("no route", "/none/1", "key-one"),
                ("an unknown key", "/read/1", "key-no"),
            ):
                refused = await cluster.send_request(cluster.proxy_ips[0], path=path, key=key)
                assert refused is not None
                summary.append(f"{what} -> {refused.status_code}")
            status, _ = await cluster.put_configuration(build_configuration(12, read="desk", sign="desk"))
            summary.append(f"PUT /configuration, read goes to desk -> {status}")
            for proxy in cluster.proxy_ips:
                await cluster.wait_until_routed_to(proxy, "desk")
            summary.append("both proxies route it to desk")

    asyncio.run(scenario())
    assert summary == snapshot


def test_a_backend_that_quiesces_and_a_new_one_at_its_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            old, other = (
                await cluster.start_backend("i-old", "archive"),
                await cluster.start_backend("i-other", "archive"),
            )
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_ready(cluster.proxy_ips[0])
            while not (old.executed and other.executed):
                await cluster.send_request(cluster.proxy_ips[0])
            cluster.heartbeat_tasks["i-old"].cancel()
            await cluster.send_heartbeat(old, "quiescing")  # acknowledged only once the proxies know of it
            before = len(old.executed)
            for _ in range(20):
                assert (await cluster.wait_until_served(cluster.proxy_ips[0])).status_code == 200
            assert len(old.executed) == before
            # A backend of another service takes over the address: no request for the old one runs there.
            port = int(old.address.rpartition(":")[2])
            old.stop()
            other.make_answer = lambda ran: Backend.encode_answer(503, ran.id, headers="Not-Executed: 1\r\n")
            new = await cluster.start_backend("i-new", "desk", port)
            await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/1")
            assert all(ran.target.startswith("/sign/") for ran in new.executed)
            refused = await cluster.send_request(cluster.proxy_ips[0])
            assert refused is not None and refused.status_code == 503 and "retry-after" in refused.headers

    asyncio.run(scenario())


def test_answers_match_their_requests_and_failures_are_not_reported_as_not_run(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            desk = await cluster.start_backend("i-desk", "desk")
            await cluster.put_configuration(build_configuration(1, sign="desk"))
            await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/0")
            # A second answer to the first request arrives where the answer to the next one is due.
            desk.make_answer = lambda ran: (
                desk.default_answer(ran)
                + Backend.encode_answer(200, "try-before", b"no", "Server-Seal: x\r\n")
            )
            for n in range(6):
                answer = await cluster.wait_until_served(cluster.proxy_ips[0], f"/sign/{n}")
                assert answer.text == f"desk /sign/{n}"

            def late(ran: ExecutedRequest) -> bytes:
                return Backend.encode_answer(
                    200, "try-before", b"late", "Server-Seal: x\r\n"
                ) + desk.default_answer(ran)

            desk.make_answer = late
            assert (await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/7")).text == "desk /sign/7"
            for faulty in (
                lambda ran: Backend.encode_answer(503, ran.id),  # without the header Not-Executed
                lambda ran: Backend.encode_answer(200, ran.id, b"no seal"),
                lambda ran: Backend.encode_answer(
                    200, ran.id, b"zip", "Server-Seal: x\r\nContent-Encoding: gzip\r\n"
                ),
                lambda ran: desk.default_answer(ran)[:-3] + CLOSE_MARKER,
                lambda ran: b"what is this" + CLOSE_MARKER,
                lambda ran: CLOSE_MARKER,
            ):
                desk.make_answer = faulty
                before = len(desk.executed)
                response = await cluster.send_request(cluster.proxy_ips[0], "DELETE", "/sign/8")
                assert (
                    response is not None and response.status_code == 502 and len(desk.executed) == before + 1
                )
                assert "server-seal" not in response.headers

    asyncio.run(scenario())


def test_the_configuration_survives_a_lost_primary_and_a_loss_of_all_processes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.start_backend("i-archive", "archive")
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_served(cluster.proxy_ips[0])
            log = (tmp_path / "log.txt").read_text()
            primary = log.split("is in force: primary ")[-1].split(",")[0]
            await cluster.kill(primary)
            others = [c for c in cluster.core_ips if c != primary]
            assert (await cluster.put_configuration(build_configuration(5), others))[0] == 200
            await cluster.start(primary)
            assert (await cluster.put_configuration(build_configuration(8), [primary]))[0] == 200
            assert json.loads(await cluster.read_configuration())["config_version"] == 8
            # The current primary loses its disk while all other machines lose power.
            log = (tmp_path / "log.txt").read_text()
            primary = log.split("is in force: primary ")[-1].split(",")[0]
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.kill(ip)
            await cluster.wipe(primary)
            await cluster.start_all()
            assert json.loads(await cluster.read_configuration())["config_version"] == 8
            await cluster.wait_until_served(cluster.proxy_ips[0])
            assert (await cluster.put_configuration(build_configuration(9)))[0] == 200

    asyncio.run(scenario())


def test_a_core_machine_that_starts_late_joins_the_existing_core(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            late = cluster.core_ips[2]
            for ip in (*cluster.core_ips[:2], *cluster.proxy_ips):
                await cluster.start(ip, initial_start=True)
            text = json.dumps(build_configuration(3)).encode()
            assert (await cluster.put_configuration(text, cluster.core_ips[:2]))[0] == 200
            # The late machine starts for the first time, as a seed: it must not found a second core.
            await cluster.start(late, initial_start=True)
            while (await cluster.call_core("GET", late, "/configuration"))[0] != 200:
                await asyncio.sleep(0.02)
            assert (await cluster.call_core("GET", late, "/configuration"))[1] == text
            assert (await cluster.put_configuration(build_configuration(6), [late]))[0] == 200
            assert json.loads(await cluster.read_configuration())["config_version"] == 6
            log = (tmp_path / "log.txt").read_text()
            epochs = re.findall(r"epoch (\d+) is in force", log)
            assert len(set(epochs)) == len(epochs)  # a single core: no epoch number was used twice

    asyncio.run(scenario())


def test_a_proxy_that_shuts_down_finishes_its_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            archive = await cluster.start_backend("i-archive", "archive")
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_served(cluster.proxy_ips[0])
            archive.answer_gate = asyncio.Event()
            pending = asyncio.get_running_loop().create_task(cluster.send_request(cluster.proxy_ips[0]))
            before = len(archive.executed)
            while len(archive.executed) == before:
                await asyncio.sleep(0.01)
            (process,) = cluster.processes[cluster.proxy_ips[0]]
            process.send_signal(signal.SIGTERM)
            while await cluster.is_ready(cluster.proxy_ips[0]):
                await asyncio.sleep(0.01)
            archive.answer_gate.set()
            answer = await pending
            assert (
                answer is not None and answer.status_code == 200 and answer.headers["connection"] == "close"
            )
            assert await process.wait() == 0

    asyncio.run(scenario())


def test_invalid_settings_stop_the_start_with_a_single_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with local_cluster(tmp_path) as cluster:
            path = cluster.write_settings(cluster.proxy_ips[0], True)
            path.write_text(path.read_text().replace("7355", "seven"))
            await cluster.start(cluster.core_ips[0], initial_start=True)
            import sys

            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ivymux", "proxy", "--settings", str(path),
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            )  # fmt: skip
            output, _ = await process.communicate()
            assert process.returncode == 2 and output.count(b"\n") == 1 and b"inner_port_range" in output

    asyncio.run(scenario())
