"""The whole path over real processes on loopback, as an operator, backends and clients see it."""

from __future__ import annotations

import asyncio
import json
import re
import signal
from pathlib import Path

from syrupy.assertion import SnapshotAssertion

from ivymux.simulation.local_cluster import build_configuration, local_cluster
from standins.backend import CLOSE, Backend, Ran


def test_a_calm_day(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    said: list[str] = []

    async def day() -> None:
        async with local_cluster(tmp_path) as cluster:
            await cluster.start(cluster.proxy_ips[0], initial_start=True)  # a door before any core machine
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
                ("a whole one", text), ("the same again, elsewhere", text), ("one byte short", text[:-1]),
                ("a later one, invalid", json.dumps(build_configuration(9, read="nobody")).encode()),
                ("an older one", json.dumps(build_configuration(3, read="desk")).encode()),
            ):  # fmt: skip
                status, told = await cluster.put_configuration(
                    body, cluster.core_ips[len(said) % 3 :] + cluster.core_ips
                )
                said.append(f"PUT /configuration, {name} -> {status} {told.decode()}")
            said.append(f"GET /configuration -> as sent: {await cluster.read_configuration() == text}")
            for door in cluster.proxy_ips:
                await cluster.wait_until_ready(door)
                await cluster.wait_until_served(door)
                await cluster.wait_until_served(door, "/sign/1")
            archive.ran.clear()
            desk.ran.clear()
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
            (ran,) = desk.ran
            sealed = "server-seal" in answer.headers
            said.append(f"POST /sign/9?x=1 -> {answer.status_code} {answer.text}; seal {sealed}")
            kept = sorted(set(ran.headers) - {"accept", "accept-encoding", "user-agent", "host"})
            said.append(
                f"the backend sees {ran.method} {ran.target}, {kept}, tenant {ran.headers['tenant-name']}"
            )
            for what, path, key in (
                ("no route", "/none/1", "key-one"),
                ("an unknown key", "/read/1", "key-no"),
            ):
                refused = await cluster.send_request(cluster.proxy_ips[0], path=path, key=key)
                assert refused is not None
                said.append(f"{what} -> {refused.status_code}")
            status, _ = await cluster.put_configuration(build_configuration(12, read="desk", sign="desk"))
            said.append(f"PUT /configuration, read goes to the desk -> {status}")
            for door in cluster.proxy_ips:
                await cluster.wait_until_routed_to(door, "desk")
            said.append("both doors send it there")

    asyncio.run(day())
    assert said == snapshot


def test_a_backend_that_leaves_and_one_at_its_old_address(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            old, other = (
                await cluster.start_backend("i-old", "archive"),
                await cluster.start_backend("i-other", "archive"),
            )
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_ready(cluster.proxy_ips[0])
            while not (old.ran and other.ran):
                await cluster.send_request(cluster.proxy_ips[0])
            cluster.heartbeat_tasks["i-old"].cancel()
            await cluster.send_heartbeat(old, "quiescing")  # once it is acknowledged the doors have heard
            before = len(old.ran)
            for _ in range(20):
                assert (await cluster.wait_until_served(cluster.proxy_ips[0])).status_code == 200
            assert len(old.ran) == before
            # A backend of another service at its address: what was meant for the old one never runs there.
            port = int(old.address.rpartition(":")[2])
            old.stop()
            other.plan = lambda ran: Backend.whole(503, ran.id, more="Not-Executed: 1\r\n")
            new = await cluster.start_backend("i-new", "desk", port)
            await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/1")
            assert all(ran.target.startswith("/sign/") for ran in new.ran)
            refused = await cluster.send_request(cluster.proxy_ips[0])
            assert refused is not None and refused.status_code == 503 and "retry-after" in refused.headers

    asyncio.run(day())


def test_answers_are_told_apart_and_failures_promise_nothing(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            desk = await cluster.start_backend("i-desk", "desk")
            await cluster.put_configuration(build_configuration(1, sign="desk"))
            await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/0")
            # A second answer to the first request, in the place where the next one is due.
            desk.plan = lambda ran: (
                desk.answer(ran) + Backend.whole(200, "try-before", b"no", "Server-Seal: x\r\n")
            )
            for n in range(6):
                answer = await cluster.wait_until_served(cluster.proxy_ips[0], f"/sign/{n}")
                assert answer.text == f"desk /sign/{n}"

            def late(ran: Ran) -> bytes:
                return Backend.whole(200, "try-before", b"late", "Server-Seal: x\r\n") + desk.answer(ran)

            desk.plan = late
            assert (await cluster.wait_until_served(cluster.proxy_ips[0], "/sign/7")).text == "desk /sign/7"
            for spoilt in (
                lambda ran: Backend.whole(503, ran.id),  # says nothing of not having run
                lambda ran: Backend.whole(200, ran.id, b"no seal"),
                lambda ran: Backend.whole(
                    200, ran.id, b"zip", "Server-Seal: x\r\nContent-Encoding: gzip\r\n"
                ),
                lambda ran: desk.answer(ran)[:-3] + CLOSE,
                lambda ran: b"what is this" + CLOSE,
                lambda ran: CLOSE,
            ):
                desk.plan = spoilt
                before = len(desk.ran)
                told = await cluster.send_request(cluster.proxy_ips[0], "DELETE", "/sign/8")
                assert told is not None and told.status_code == 502 and len(desk.ran) == before + 1

    asyncio.run(day())


def test_a_lost_leader_and_a_whole_loss(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            await cluster.start_backend("i-archive", "archive")
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_served(cluster.proxy_ips[0])
            log = (tmp_path / "log.txt").read_text()
            leader = log.split("is in force: primary ")[-1].split(",")[0]
            await cluster.kill(leader)
            others = [c for c in cluster.core_ips if c != leader]
            assert (await cluster.put_configuration(build_configuration(5), others))[0] == 200
            await cluster.start(leader)
            assert (await cluster.put_configuration(build_configuration(8), [leader]))[0] == 200
            assert json.loads(await cluster.read_configuration())["config_version"] == 8
            # The one that leads now loses its disk while every other machine loses power.
            log = (tmp_path / "log.txt").read_text()
            leader = log.split("is in force: primary ")[-1].split(",")[0]
            for ip in (*cluster.core_ips, *cluster.proxy_ips):
                await cluster.kill(ip)
            await cluster.wipe(leader)
            await cluster.start_all()
            assert json.loads(await cluster.read_configuration())["config_version"] == 8
            await cluster.wait_until_served(cluster.proxy_ips[0])
            assert (await cluster.put_configuration(build_configuration(9)))[0] == 200

    asyncio.run(day())


def test_a_core_machine_that_starts_late_joins_the_core_that_there_is(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            late = cluster.core_ips[2]
            for ip in (*cluster.core_ips[:2], *cluster.proxy_ips):
                await cluster.start(ip, initial_start=True)
            text = json.dumps(build_configuration(3)).encode()
            assert (await cluster.put_configuration(text, cluster.core_ips[:2]))[0] == 200
            # Its first start too, and it is a seed: it founds nothing, and soon answers as the others do.
            await cluster.start(late, initial_start=True)
            while (await cluster.call_core("GET", late, "/configuration"))[0] != 200:
                await asyncio.sleep(0.02)
            assert (await cluster.call_core("GET", late, "/configuration"))[1] == text
            assert (await cluster.put_configuration(build_configuration(6), [late]))[0] == 200
            assert json.loads(await cluster.read_configuration())["config_version"] == 6
            log = (tmp_path / "log.txt").read_text()
            epochs = re.findall(r"epoch (\d+) is in force", log)
            assert len(set(epochs)) == len(epochs)  # one core: no number was made twice

    asyncio.run(day())


def test_a_door_that_ends_finishes_what_it_has(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path, proxy_count=1) as cluster:
            await cluster.start_all(initial_start=True)
            archive = await cluster.start_backend("i-archive", "archive")
            await cluster.put_configuration(build_configuration(1))
            await cluster.wait_until_served(cluster.proxy_ips[0])
            archive.gate = asyncio.Event()
            held = asyncio.get_running_loop().create_task(cluster.send_request(cluster.proxy_ips[0]))
            before = len(archive.ran)
            while len(archive.ran) == before:
                await asyncio.sleep(0.01)
            (process,) = cluster.processes[cluster.proxy_ips[0]]
            process.send_signal(signal.SIGTERM)
            while await cluster.is_ready(cluster.proxy_ips[0]):
                await asyncio.sleep(0.01)
            archive.gate.set()
            answer = await held
            assert (
                answer is not None and answer.status_code == 200 and answer.headers["connection"] == "close"
            )
            assert await process.wait() == 0

    asyncio.run(day())


def test_settings_that_cannot_be_read_end_the_start_with_one_line(tmp_path: Path) -> None:
    async def day() -> None:
        async with local_cluster(tmp_path) as cluster:
            path = cluster.write_settings(cluster.proxy_ips[0], True)
            path.write_text(path.read_text().replace("7355", "seven"))
            await cluster.start(cluster.core_ips[0], initial_start=True)
            import sys

            door = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ivymux", "proxy", "--settings", str(path),
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            )  # fmt: skip
            told, _ = await door.communicate()
            assert door.returncode == 2 and told.count(b"\n") == 1 and b"inner_port_range" in told

    asyncio.run(day())
