"""Tests of a gateway under load that follows an inventory: damaged and truncated files, rollbacks, races."""

from __future__ import annotations

import asyncio
import contextlib
import json
import threading
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from ivymux.data_plane.limits import ConfigError
from ivymux.inventory.ansible import write_ansible
from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import decode
from ivymux.membership import files as files_module
from ivymux.membership import source as source_module
from ivymux.membership.reader import ReadResult, ReadTask, read_and_check, read_in_child_process
from ivymux.membership.snapshot_store import SnapshotStore
from ivymux.membership.source import InventorySource
from ivymux.service.standalone import StandaloneGateway, open_standalone
from standins import worker as stand
from tests.inventory import damage
from tests.routes.describing import described
from tests.service.fixtures import PATHS, Client, site_text
from tests.sockets import run, until


async def read_in_process(task: ReadTask) -> ReadResult:
    """Stand in for the child process, whose start takes too long to read hundreds of files."""
    await asyncio.sleep(0)
    return read_and_check(task)


@dataclass
class FollowedInventory:
    """A gateway under load, the inventory file that it follows and the workers that the file lists."""

    gateway: StandaloneGateway
    folder: Path
    file: Path
    workers: list[stand.Worker]
    served: int = 0
    stopping: bool = False
    statuses: set[int] = field(default_factory=set)

    @property
    def source(self) -> InventorySource:
        assert self.gateway.inventory is not None
        return self.gateway.inventory

    def write(self, data: bytes) -> None:
        part = self.file.with_suffix(".part")
        part.write_bytes(data)
        part.replace(self.file)

    async def poll(self) -> None:
        """Poll until the present file has been read; the settle time is 0 here."""
        await self.source.poll()
        await self.source.poll()

    def routing(self) -> object:
        members = {n: (m.worker, m.address) for n, m in self.gateway.member_list.members.items()}
        return members, set(self.gateway.host.upstream.pools)

    async def generate_load(self) -> None:
        async with Client(self.gateway) as client:
            while not self.stopping:
                answer = await client.send_request("GET /read/7")
                self.statuses.add(answer.status)
                self.served += 1
                await asyncio.sleep(0)

    def fleet(self, count: int) -> Inventory:
        return Inventory(tuple(Worker(f"w{n:02d}", "127.0.0.1", w.port, f"room-{'ab'[n % 2]}", n % 4, "std")
                               for n, w in enumerate(self.workers[:count])))  # fmt: skip


@contextlib.asynccontextmanager
async def open_gateway(
    tmp_path: Path, count: int = 12, first: int = 12, name: str = "workers.csv", extra: str = ""
) -> AsyncIterator[FollowedInventory]:
    workers = [await stand.Worker().start() for _ in range(count)]
    (tmp_path / "api.json").write_text(json.dumps(described(PATHS)))
    # The cache spares a test's later starts the compilation of the same description.
    text = site_text([], description='watch = 0\ncache = "cache"')
    text += f'\n[inventory]\nfile = "{name}"\nstate = "state"\nwatch = 3600.0\nsettle = 0.0\n{extra}'
    (tmp_path / "site.toml").write_text(text)
    setup = FollowedInventory(None, tmp_path, tmp_path / name, workers)  # type: ignore[arg-type]
    setup.write((write_ansible if name.endswith(".yml") else write_csv)(setup.fleet(first)))
    setup.gateway = await open_standalone(tmp_path / "site.toml")
    await setup.gateway.start()
    load = [asyncio.ensure_future(setup.generate_load()) for _ in range(2)]
    try:
        yield setup
        await until(lambda: setup.served > 20 or any(task.done() for task in load))
        setup.stopping = True
        await asyncio.gather(*load)
        assert setup.statuses == {200} and setup.served > 10
    finally:
        for task in load:
            task.cancel()
        await setup.gateway.close()
        for w in workers:
            w.stop()


@pytest.mark.parametrize("kind", ["sheets", "trees"])
def test_damaged_files_leave_the_routing_unchanged_and_the_next_good_file_is_applied(
    tmp_path: Path, kind: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    variants = damage.damaged(damage.sheets if kind == "sheets" else damage.trees)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            if kind == "trees":
                setup.source.path = setup.file = tmp_path / "workers.yml"
            before = setup.routing()
            for variant in variants:
                caplog.clear()
                setup.write(variant.data)
                served = setup.served
                await setup.poll()
                await until(lambda served=served: setup.served > served)  # type: ignore[misc]
                assert setup.routing() == before, variant.name
                messages = [
                    r.getMessage() for r in caplog.records if "the list stays as it was" in r.getMessage()
                ]
                assert len(messages) == 1 and "\n" not in messages[0], variant.name
                assert ("held back" in messages[0]) is (variant.line is None), (variant.name, messages)
            good = setup.fleet(11)
            setup.file = setup.source.path = tmp_path / "workers.csv"
            setup.write(write_csv(good))
            await setup.poll()
            assert setup.routing() != before and len(setup.gateway.host.upstream.pools) == 11

    run(test())


@pytest.mark.parametrize("form", ["counted", "bare", "yaml"])
def test_a_file_truncated_at_any_byte_removes_no_worker(
    tmp_path: Path, form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each truncation is caught by the parser, the count in the last row, the missing end marker or the
    limits on changes, or it loses nothing.
    """
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    caught = Counter[str]()

    async def test() -> None:
        # Fewer workers in YAML, which has four times the bytes of CSV: each poll takes some milliseconds.
        count, name = (4, "workers.yml") if form == "yaml" else (8, "workers.csv")
        async with open_gateway(tmp_path, count, count, name) as setup:
            fleet = setup.fleet(count)
            data = write_ansible(fleet) if form == "yaml" else write_csv(fleet)
            if form == "bare":
                data = data.rpartition(b"# end")[0]
            setup.write(data)
            await setup.poll()
            before = setup.routing()
            for cut in range(len(data)):
                setup.write(data[:cut])
                task = ReadTask(
                    str(setup.file), setup.source.limits, setup.source.current, None, setup.source.shape
                )
                result = await read_in_process(task)
                if result.inventory is None:
                    by_count = any("the file is truncated" in f.text for f in result.findings)
                    caught["count" if by_count else "parser"] += 1
                elif not result.change:
                    caught["nothing is lost"] += 1
                else:
                    reasons = " ".join(result.reasons)
                    ends = "its count" in reasons or "without its end" in reasons
                    caught["end" if ends and len(result.reasons) == 1 else "limits"] += 1
                await setup.poll()
                assert setup.routing() == before, cut

    run(test())
    print(form, dict(caught))
    assert caught["parser"] and caught["end"] and caught["limits"] and caught["nothing is lost"]


def test_a_file_is_read_only_once_a_slow_writer_has_finished(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            clock = [1000.0]
            monkeypatch.setattr("ivymux.membership.source.time.monotonic", lambda: clock[0])
            setup.source.stability.quiet_period_s = 0.5
            before, data = setup.routing(), write_csv(setup.fleet(11))
            for cut in range(0, len(data), 40):  # the writer appends 40 bytes every 0.2 s
                setup.file.write_bytes(data[:cut])
                clock[0] += 0.2
                await setup.source.poll()
                assert setup.routing() == before
            setup.file.write_bytes(data)
            for _ in range(4):
                clock[0] += 0.2
                await setup.source.poll()
            assert len(setup.gateway.host.upstream.pools) == 11

    run(test())


def test_a_write_hidden_by_an_equal_time_stamp_is_found_by_rereading(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    monkeypatch.setattr(source_module, "fingerprint", lambda path: fingerprints[0])
    fingerprints: list[object] = ["one"]

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            clock = [1000.0]
            monkeypatch.setattr("ivymux.membership.source.time.monotonic", lambda: clock[0])
            fingerprints[0] = "two"
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 11
            # The second write is within the resolution of the file system's time stamps.
            setup.write(write_csv(setup.fleet(10)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 11
            clock[0] += source_module.REREAD_DELAY_S
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 10

    run(test())


def test_a_large_change_is_held_back_until_that_change_is_confirmed(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            before = setup.routing()
            setup.write(write_csv(setup.fleet(5)))
            await setup.poll()
            assert setup.routing() == before and setup.source.pending is not None
            code = setup.source.pending.result.confirmation
            assert not await setup.source.confirm("0" * 24)
            setup.write(write_csv(setup.fleet(4)))  # another change, which the code does not confirm
            assert not await setup.source.confirm(code)
            await setup.poll()
            assert setup.source.pending is not None and setup.source.pending.result.confirmation != code
            SnapshotStore(tmp_path / "state").write_command(
                "confirm", setup.source.pending.result.confirmation
            )
            await setup.source.poll()
            assert len(setup.gateway.host.upstream.pools) == 4 and setup.source.pending is None

    run(test())


def test_a_rollback_stays_in_force_until_the_file_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 11
            SnapshotStore(tmp_path / "state").write_command("rollback", "1")
            await setup.source.poll()
            assert len(setup.gateway.host.upstream.pools) == 12
            setup.file.touch()  # the same content, rewritten
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 12
            setup.write(write_csv(setup.fleet(10)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 10
            numbers = [decode(p.read_bytes()).why for p in setup.source.store.list_files()]
            assert numbers == ["changed", "rolled back", "changed", "started"]

    run(test())


def test_a_start_with_a_broken_file_serves_the_last_good_list_and_logs_its_age(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            await until(lambda: setup.served > 20)
        for data in (b"name,addr", b"", None):
            if data is None:
                setup.file.unlink()
            else:
                setup.write(data)
            gateway = await open_standalone(tmp_path / "site.toml")
            await gateway.start()
            assert len(gateway.host.upstream.pools) == 12
            await gateway.close()
        assert (
            sum("serving list 1" in r.getMessage() and "s old" in r.getMessage() for r in caplog.records) == 3
        )
        # A valid file that drops most of the fleet is held back at the start too.
        setup.write(write_csv(setup.fleet(3)))
        gateway = await open_standalone(tmp_path / "site.toml")
        await gateway.start()
        assert len(gateway.host.upstream.pools) == 12
        await gateway.close()
        for path in (tmp_path / "state").iterdir():
            path.unlink()
        setup.write(b"broken")
        gateway = await open_standalone(tmp_path / "site.toml")
        with pytest.raises(ConfigError, match=r"workers\.csv:1"):
            await gateway.start()
        await gateway.close()

    run(test())


def test_a_change_during_the_start_is_found_by_the_first_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def changing(task: ReadTask) -> ReadResult:
        result = read_and_check(task)
        if task.current is None:  # the read at the start: the file changes right after it
            Path(task.path).write_bytes(Path(task.path).read_bytes().replace(b",1,ready", b",2,ready"))
        return result

    monkeypatch.setattr(source_module, "read_in_child_process", changing)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            await setup.poll()
            assert {m.worker.weight for m in setup.gateway.member_list.members.values()} == {2.0}

    run(test())


def test_a_file_that_keeps_changing_or_disappears_leaves_the_list_unchanged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            before = setup.routing()
            setup.source.stability.quiet_period_s, setup.source.stability.report_after_s = 3600.0, 0.0
            for turn in range(20):
                setup.write(write_csv(setup.fleet(11 - turn % 2)))
                await setup.source.poll()
            setup.file.unlink()
            for _ in range(5):
                await setup.source.poll()
            assert setup.routing() == before
            setup.source.stability.quiet_period_s = 0.0
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 11
        text = caplog.text
        assert text.count("does not come to rest") == 1 and text.count("is not there") == 1

    run(test())


@pytest.mark.parametrize("way", ["renaming", "in place"])
def test_with_two_concurrent_writers_each_list_is_applied_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, way: str
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            whole = setup.fleet(12)
            lists = [Inventory(whole.workers[:10] + whole.workers[n : n + 1]) for n in (10, 11)]
            names = [{w.name for w in listed.workers} for listed in lists]
            data = [write_csv(listed) for listed in lists]
            applied: list[set[str]] = []
            apply = setup.source.apply

            async def record_applied(inventory: Inventory) -> None:
                applied.append({w.name for w in inventory.workers})
                await apply(inventory)

            monkeypatch.setattr(setup.source, "apply", record_applied)

            async def writer(number: int) -> None:
                part = tmp_path / f"part{number}"
                for _ in range(60):
                    if way == "renaming":
                        part.write_bytes(data[number])
                        await asyncio.sleep(0)
                        part.replace(setup.file)
                    else:
                        with open(setup.file, "wb", buffering=0) as sink:
                            for at in range(0, len(data[number]), 90):
                                sink.write(data[number][at : at + 90])
                                await asyncio.sleep(0)
                    await asyncio.sleep(0.001 * (1 + number))

            async def poll_continuously() -> None:
                while True:
                    await setup.source.poll()
                    await asyncio.sleep(0)

            polling = asyncio.ensure_future(poll_continuously())
            await asyncio.gather(writer(0), writer(1))
            setup.write(data[1])
            await until(lambda: applied and applied[-1] == names[1])
            polling.cancel()
            if way == "renaming":
                assert all(listed in names for listed in applied)
            # Pieces of both files may form a valid list, which always has the workers that are in both.
            assert all(listed >= names[0] & names[1] for listed in applied)

    run(test())


def remove_folder(folder: Path) -> None:
    folder.rename(folder.with_name("elsewhere"))


def empty_folder(folder: Path) -> None:
    remove_folder(folder)
    folder.mkdir()


def restore_folder(folder: Path) -> None:
    if folder.exists():
        folder.rmdir()
    folder.with_name("elsewhere").rename(folder)


@pytest.mark.parametrize("lose", [remove_folder, empty_folder])
def test_losing_the_mount_of_the_inventory_leaves_the_list_unchanged(
    tmp_path: Path, lose: Any, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    mount = tmp_path / "mount"
    mount.mkdir()

    async def test() -> None:
        async with open_gateway(tmp_path, name="mount/workers.csv") as setup:
            before = setup.routing()
            for _ in range(2):
                lose(mount)
                for _ in range(3):
                    await setup.poll()
                assert setup.routing() == before
                restore_folder(mount)
                await setup.poll()
                assert setup.routing() == before and not setup.source.is_missing
            assert caplog.text.count("is not there") == 2
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            assert len(setup.gateway.host.upstream.pools) == 11

    run(test())


@pytest.mark.parametrize("lose", [remove_folder, empty_folder])
def test_losing_the_mount_of_the_variables_is_held_back(
    tmp_path: Path, lose: Any, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    folder = tmp_path / "group_vars"
    folder.mkdir()
    (folder / "bay_1.yml").write_text("state: draining\n")

    async def test() -> None:
        async with open_gateway(tmp_path, name="workers.yml") as setup:
            setup.write(write_ansible(setup.fleet(12)).replace(b"state: ready", b""))
            setup.file.write_text("all:\n  children:\n    bay_1:\n      hosts:\n" + "".join(
                f"        {w.name}: {{ansible_host: 127.0.0.1, ansible_port: {w.port}, room: {w.room}}}\n"
                for w in setup.fleet(12).workers))  # fmt: skip
            await setup.poll()
            assert setup.source.pending is not None  # draining the whole fleet is held back too
            assert await setup.source.confirm(setup.source.pending.result.confirmation)
            assert {m.worker.state for m in setup.gateway.member_list.members.values()} == {"draining"}
            (folder / "bay_1.yml").write_text("weight: 2\n")
            await setup.poll()
            before = setup.routing()
            assert {m.worker.weight for m in setup.gateway.member_list.members.values()} == {2.0}
            lose(folder)
            await setup.poll()
            assert setup.routing() == before and "as when a mount is lost" in caplog.text
            restore_folder(folder)
            await setup.poll()
            assert setup.routing() == before and setup.source.pending is None

    run(test())


def test_a_hanging_file_system_does_not_delay_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)
    released, fingerprint = threading.Event(), files_module.fingerprint

    def hanging_fingerprint(path: Path) -> object:
        released.wait(15.0)
        return fingerprint(path)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            before = setup.routing()
            monkeypatch.setattr(source_module, "fingerprint", hanging_fingerprint)
            setup.write(write_csv(setup.fleet(11)))
            polling = asyncio.ensure_future(setup.poll())
            served = setup.served
            await until(lambda: setup.served > served + 200)
            assert not polling.done() and setup.routing() == before
            released.set()
            await polling
            assert len(setup.gateway.host.upstream.pools) == 11

    run(test())


def test_removing_a_worker_under_load_fails_no_request_and_sends_it_no_more(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            leaving = setup.workers[11]
            await until(lambda: leaving.last_request is not None)
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            before = leaving.record.received.total()
            served = setup.served
            await until(lambda: setup.served > served + 200)
            assert leaving.record.received.total() == before  # no request after the change

    run(test())


def test_requests_in_flight_at_a_removed_worker_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_in_child_process", read_in_process)

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            leaving = setup.workers[11]
            answered, held = asyncio.Event(), list[str]()

            def hold_writes(worker: stand.Worker, seen: stand.ReceivedRequest) -> stand.Reply:
                # Only writes are held: a slow read is retried at another worker.
                if seen.method != "POST":
                    return stand.Reply()
                if worker is leaving:
                    held.append(seen.header("request-id"))
                return stand.Reply(gate=answered)

            for worker in setup.workers:  # all workers hold writes, so that each receives some
                worker.respond = partial(hold_writes, worker)

            async def write() -> int:
                async with Client(setup.gateway) as client:
                    return (await client.send_request("POST /read/7", b"x")).status

            writes = [asyncio.ensure_future(write()) for _ in range(2 * len(setup.workers))]
            await until(lambda: held)
            setup.write(write_csv(setup.fleet(11)))
            await setup.poll()
            # The requests are still in flight after the removal.
            assert all(leaving.record.outstanding[name] == 1 for name in held)
            answered.set()
            assert set(await asyncio.gather(*writes)) == {200}
            assert all(leaving.record.executions[name] == 1 for name in held)

    run(test())


def test_workers_that_swap_addresses_never_receive_each_others_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limits = "[inventory.limits]\nfleet = 1.0\nbay = 1.0\nmoved = 1.0\n[rules]\nwarm_up = 0.0\n"

    async def test() -> None:
        async with open_gateway(tmp_path, 2, 2, extra=limits) as setup:
            host, meant = setup.gateway.host, Counter[tuple[str, int]]()
            start = host.upstream.start_attempt

            def record_attempt(backend: int, payload: bytes, *rest: Any) -> Any:
                name = payload.partition(b"\r\nrequest-id: ")[2].partition(b"\r\n")[0].decode()
                meant[name, setup.gateway.member_list.members[backend].address.port] += 1
                return start(backend, payload, *rest)

            monkeypatch.setattr(host.upstream, "start_attempt", record_attempt)
            for worker in setup.workers:  # requests are in flight while the addresses are swapped
                worker.respond = lambda seen: stand.Reply(delay=0.002)
            for turn in range(6):  # two workers swap their addresses again and again
                listed = list(setup.fleet(2).workers)
                a, b = listed[0], listed[1]
                if turn % 2 == 0:
                    listed[0] = Worker(a.name, a.host, b.port, a.room, a.bay, a.kind)
                    listed[1] = Worker(b.name, b.host, a.port, b.room, b.bay, b.kind)
                setup.write(write_csv(Inventory(tuple(listed))))
                await setup.poll()
                for number, member in setup.gateway.member_list.members.items():
                    assert host.upstream.pools[number].address == member.address
                before = [len(w.record.received) for w in setup.workers]
                await until(
                    lambda before=before: all(  # type: ignore[misc]
                        len(w.record.received) > count + 3
                        for w, count in zip(setup.workers, before, strict=True)
                    )
                )
            assert len(host.upstream.pools) == 2
            for worker in setup.workers:
                # A retried request may have been sent to both workers; each attempt has its own target.
                got = [name for name, _ in meant if worker.record.received[name]]
                assert len(got) > 20
                assert all(worker.record.received[name] <= meant[name, worker.port] for name in got)

    run(test())


def test_reading_in_a_child_process_gives_the_same_result(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "w.csv"
        path.write_bytes(damage.SHEET.encode())
        from ivymux.inventory.change_policy import Limits

        whole = await read_in_child_process(ReadTask(str(path), Limits(), None, None))
        assert whole.inventory is not None and whole == read_and_check(
            ReadTask(str(path), Limits(), None, None)
        )
        path.write_bytes(damage.SHEET.encode()[:150])
        task = ReadTask(str(path), Limits(), whole.inventory, None)
        assert await read_in_child_process(task) == read_and_check(task)
        missing = await read_in_child_process(ReadTask(str(tmp_path / "none"), Limits(), None, None))
        assert missing.inventory is None and "is not there" in missing.problem

    run(test())


def test_a_replaced_file_is_applied_within_seconds(tmp_path: Path) -> None:
    """Uses the default settings; the bound is wide because a benchmark measures the delay."""

    async def test() -> None:
        async with open_gateway(tmp_path) as setup:
            setup.source.stability.quiet_period_s, setup.source.poll_period_s = 0.5, 0.25
            setup.gateway.start_task(setup.source.run())
            setup.write(write_csv(setup.fleet(11)))
            started_at = time.monotonic()
            await until(lambda: len(setup.gateway.host.upstream.pools) == 11)
            assert time.monotonic() - started_at < 5.0

    run(test())
