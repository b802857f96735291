"""A front door that follows an inventory: under traffic, with damaged files, cuts, flips and rollbacks."""

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
from ivymux.inventory.csv_reader import write_sheet
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import decode
from ivymux.membership import files as files_module
from ivymux.membership import source as source_module
from ivymux.membership.reader import Done, Task, read_beside, work
from ivymux.membership.snapshot_store import Keeper
from ivymux.membership.source import InventorySource
from ivymux.service.standalone import Standalone, open_standalone
from standins import worker as stand
from tests.inventory import damage
from tests.routes.describing import described
from tests.service.doors import PATHS, Caller, site_text
from tests.sockets import run, until


async def inline(task: Task) -> Done:
    """Reads in this process: two hundred files would take a minute of interpreters' starts."""
    await asyncio.sleep(0)
    return work(task)


@dataclass
class Scene:
    door: Standalone
    folder: Path
    file: Path
    workers: list[stand.Worker]
    served: int = 0
    stopping: bool = False
    statuses: set[int] = field(default_factory=set)

    @property
    def source(self) -> InventorySource:
        assert self.door.inventory is not None
        return self.door.inventory

    def write(self, data: bytes) -> None:
        part = self.file.with_suffix(".part")
        part.write_bytes(data)
        part.replace(self.file)

    async def look(self) -> None:
        """Looks until the file as it is now has been read; the settle time is 0 here."""
        await self.source.look()
        await self.source.look()

    def routing(self) -> object:
        known = self.door.member_list.members
        return {number: (k.worker, k.address) for number, k in known.items()}, set(
            self.door.host.upstream.pools
        )

    async def traffic(self) -> None:
        async with Caller(self.door) as caller:
            while not self.stopping:
                got = await caller.ask("GET /read/7")
                self.statuses.add(got.status)
                self.served += 1
                await asyncio.sleep(0)

    def fleet(self, count: int) -> Inventory:
        return Inventory(tuple(Worker(f"w{n:02d}", "127.0.0.1", w.port, f"room-{'ab'[n % 2]}", n % 4, "std")
                               for n, w in enumerate(self.workers[:count])))  # fmt: skip


@contextlib.asynccontextmanager
async def scene(
    tmp_path: Path, count: int = 12, first: int = 12, name: str = "workers.csv", extra: str = ""
) -> AsyncIterator[Scene]:
    workers = [await stand.Worker().start() for _ in range(count)]
    (tmp_path / "api.json").write_text(json.dumps(described(PATHS)))
    text = site_text([], description="watch = 0")
    text += f'\n[inventory]\nfile = "{name}"\nstate = "state"\nwatch = 3600.0\nsettle = 0.0\n{extra}'
    (tmp_path / "site.toml").write_text(text)
    made = Scene(None, tmp_path, tmp_path / name, workers)  # type: ignore[arg-type]
    made.write((write_ansible if name.endswith(".yml") else write_sheet)(made.fleet(first)))
    made.door = await open_standalone(tmp_path / "site.toml")
    await made.door.start()
    load = [asyncio.ensure_future(made.traffic()) for _ in range(2)]
    try:
        yield made
        await until(lambda: made.served > 20 or any(task.done() for task in load))
        made.stopping = True
        await asyncio.gather(*load)
        assert made.statuses == {200} and made.served > 10
    finally:
        for task in load:
            task.cancel()
        await made.door.close()
        for w in workers:
            w.stop()


@pytest.mark.parametrize("kind", ["sheets", "trees"])
def test_a_hundred_damaged_files_change_no_routing_and_the_next_good_one_is_taken(
    tmp_path: Path, kind: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)
    variants = damage.damaged(damage.sheets if kind == "sheets" else damage.trees)

    async def test() -> None:
        async with scene(tmp_path) as s:
            if kind == "trees":
                s.source.path = s.file = tmp_path / "workers.yml"
            before = s.routing()
            for variant in variants:
                caplog.clear()
                s.write(variant.data)
                served = s.served
                await s.look()
                await until(lambda served=served: s.served > served)  # type: ignore[misc]
                assert s.routing() == before, variant.name
                told = [
                    r.getMessage() for r in caplog.records if "the list stays as it was" in r.getMessage()
                ]
                assert len(told) == 1 and "\n" not in told[0], variant.name
                assert ("held back" in told[0]) is (variant.line is None), (variant.name, told)
            good = s.fleet(11)
            s.file = s.source.path = tmp_path / "workers.csv"
            s.write(write_sheet(good))
            await s.look()
            assert s.routing() != before and len(s.door.host.upstream.pools) == 11

    run(test())


@pytest.mark.parametrize("form", ["counted", "bare", "yaml"])
def test_a_file_cut_at_every_byte_loses_no_worker(
    tmp_path: Path, form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Which of them caught each cut: the parser, the count in the last row, the end that is missing, or
    the judge's limits.
    """
    monkeypatch.setattr(source_module, "read_beside", inline)
    caught = Counter[str]()

    async def test() -> None:
        # Each look costs some milliseconds, and a tree has four times a sheet's bytes.
        count, name = (4, "workers.yml") if form == "yaml" else (8, "workers.csv")
        async with scene(tmp_path, count, count, name) as s:
            fleet = s.fleet(count)
            data = write_ansible(fleet) if form == "yaml" else write_sheet(fleet)
            if form == "bare":
                data = data.rpartition(b"# end")[0]
            s.write(data)
            await s.look()
            before = s.routing()
            for cut in range(len(data)):
                s.write(data[:cut])
                task = Task(str(s.file), s.source.limits, s.source.current, None, s.source.shape)
                done = await inline(task)
                if done.inventory is None:
                    by_count = any("it was cut" in f.text for f in done.findings)
                    caught["count" if by_count else "parser"] += 1
                elif not done.change:
                    caught["nothing is lost"] += 1
                else:
                    reasons = " ".join(done.reasons)
                    ends = "its count" in reasons or "without its end" in reasons
                    caught["end" if ends and len(done.reasons) == 1 else "limits"] += 1
                await s.look()
                assert s.routing() == before, cut

    run(test())
    print(form, dict(caught))
    assert caught["parser"] and caught["end"] and caught["limits"] and caught["nothing is lost"]


def test_with_the_settle_rule_a_slow_writer_is_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)

    async def test() -> None:
        async with scene(tmp_path) as s:
            clock = [1000.0]
            monkeypatch.setattr("ivymux.membership.source.time.monotonic", lambda: clock[0])
            s.source.settle.rest = 0.5
            before, data = s.routing(), write_sheet(s.fleet(11))
            for cut in range(0, len(data), 40):  # in place, a piece each 0.2 s
                s.file.write_bytes(data[:cut])
                clock[0] += 0.2
                await s.source.look()
                assert s.routing() == before
            s.file.write_bytes(data)
            for _ in range(4):
                clock[0] += 0.2
                await s.source.look()
            assert len(s.door.host.upstream.pools) == 11

    run(test())


def test_a_write_that_its_time_stamps_hide_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)
    monkeypatch.setattr(source_module, "stamp", lambda path: stamps[0])
    stamps: list[object] = ["one"]

    async def test() -> None:
        async with scene(tmp_path) as s:
            clock = [1000.0]
            monkeypatch.setattr("ivymux.membership.source.time.monotonic", lambda: clock[0])
            stamps[0] = "two"
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            assert len(s.door.host.upstream.pools) == 11
            s.write(write_sheet(s.fleet(10)))  # within the same tick of the file system's clock
            await s.look()
            assert len(s.door.host.upstream.pools) == 11
            clock[0] += source_module.COARSE
            await s.look()
            assert len(s.door.host.upstream.pools) == 10

    run(test())


def test_a_large_change_waits_for_its_own_confirmation(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            before = s.routing()
            s.write(write_sheet(s.fleet(5)))
            await s.look()
            assert s.routing() == before and s.source.pending is not None
            code = s.source.pending.done.confirmation
            assert not await s.source.confirm("0" * 24)
            s.write(write_sheet(s.fleet(4)))  # another step: the code is not for it
            assert not await s.source.confirm(code)
            await s.look()
            assert s.source.pending is not None and s.source.pending.done.confirmation != code
            Keeper(tmp_path / "state").ask("confirm", s.source.pending.done.confirmation)
            await s.source.look()
            assert len(s.door.host.upstream.pools) == 4 and s.source.pending is None

    run(test())


def test_rolling_back_holds_until_the_file_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            assert len(s.door.host.upstream.pools) == 11
            Keeper(tmp_path / "state").ask("rollback", "1")
            await s.source.look()
            assert len(s.door.host.upstream.pools) == 12
            s.file.touch()  # the same content, rewritten
            await s.look()
            assert len(s.door.host.upstream.pools) == 12
            s.write(write_sheet(s.fleet(10)))
            await s.look()
            assert len(s.door.host.upstream.pools) == 10
            numbers = [decode(p.read_bytes()).why for p in s.source.keeper.files()]
            assert numbers == ["changed", "rolled back", "changed", "started"]

    run(test())


def test_a_start_with_a_broken_file_serves_the_last_good_list_and_says_how_old(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await until(lambda: s.served > 20)
        for data in (b"name,addr", b"", None):
            if data is None:
                s.file.unlink()
            else:
                s.write(data)
            door = await open_standalone(tmp_path / "site.toml")
            await door.start()
            assert len(door.host.upstream.pools) == 12
            await door.close()
        assert (
            sum("serving list 1" in r.getMessage() and "s old" in r.getMessage() for r in caplog.records) == 3
        )
        s.write(
            write_sheet(s.fleet(3))
        )  # a good file that drops most of the fleet: held back at the start too
        door = await open_standalone(tmp_path / "site.toml")
        await door.start()
        assert len(door.host.upstream.pools) == 12
        await door.close()
        for path in (tmp_path / "state").iterdir():
            path.unlink()
        s.write(b"broken")
        door = await open_standalone(tmp_path / "site.toml")
        with pytest.raises(ConfigError, match=r"workers\.csv:1"):
            await door.start()
        await door.close()

    run(test())


def test_what_changes_during_the_start_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def changing(task: Task) -> Done:
        done = work(task)
        if task.current is None:  # the start's own read: the file is other right behind it
            Path(task.path).write_bytes(Path(task.path).read_bytes().replace(b",1,ready", b",2,ready"))
        return done

    monkeypatch.setattr(source_module, "read_beside", changing)

    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.look()
            assert {k.worker.weight for k in s.door.member_list.members.values()} == {2.0}

    run(test())


def test_a_file_that_flips_or_goes_leaves_the_list(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            before = s.routing()
            s.source.settle.rest, s.source.settle.patience = 3600.0, 0.0
            for turn in range(20):
                s.write(write_sheet(s.fleet(11 - turn % 2)))
                await s.source.look()
            s.file.unlink()
            for _ in range(5):
                await s.source.look()
            assert s.routing() == before
            s.source.settle.rest = 0.0
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            assert len(s.door.host.upstream.pools) == 11
        text = caplog.text
        assert text.count("does not come to rest") == 1 and text.count("is not there") == 1

    run(test())


@pytest.mark.parametrize("way", ["renaming", "in place"])
def test_of_two_writers_at_once_each_list_counts_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, way: str
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)

    async def test() -> None:
        async with scene(tmp_path) as s:
            whole = s.fleet(12)
            lists = [Inventory(whole.workers[:10] + whole.workers[n : n + 1]) for n in (10, 11)]
            names = [{w.name for w in listed.workers} for listed in lists]
            data = [write_sheet(listed) for listed in lists]
            applied: list[set[str]] = []
            apply = s.source.apply

            async def told(inventory: Inventory) -> None:
                applied.append({w.name for w in inventory.workers})
                await apply(inventory)

            monkeypatch.setattr(s.source, "apply", told)

            async def writer(number: int) -> None:
                part = tmp_path / f"part{number}"
                for _ in range(60):
                    if way == "renaming":
                        part.write_bytes(data[number])
                        await asyncio.sleep(0)
                        part.replace(s.file)
                    else:
                        with open(s.file, "wb", buffering=0) as sink:
                            for at in range(0, len(data[number]), 90):
                                sink.write(data[number][at : at + 90])
                                await asyncio.sleep(0)
                    await asyncio.sleep(0.001 * (1 + number))

            async def looker() -> None:
                while True:
                    await s.source.look()
                    await asyncio.sleep(0)

            looking = asyncio.ensure_future(looker())
            await asyncio.gather(writer(0), writer(1))
            s.write(data[1])
            await until(lambda: applied and applied[-1] == names[1])
            looking.cancel()
            if way == "renaming":
                assert all(listed in names for listed in applied)
            # Pieces of both may make a list that is whole; what both hold is in it always.
            assert all(listed >= names[0] & names[1] for listed in applied)

    run(test())


def gone(folder: Path) -> None:
    folder.rename(folder.with_name("elsewhere"))


def empty(folder: Path) -> None:
    gone(folder)
    folder.mkdir()


def back(folder: Path) -> None:
    if folder.exists():
        folder.rmdir()
    folder.with_name("elsewhere").rename(folder)


@pytest.mark.parametrize("lose", [gone, empty])
def test_a_folder_that_loses_its_mount_leaves_the_list(
    tmp_path: Path, lose: Any, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)
    mount = tmp_path / "mount"
    mount.mkdir()

    async def test() -> None:
        async with scene(tmp_path, name="mount/workers.csv") as s:
            before = s.routing()
            for _ in range(2):
                lose(mount)
                for _ in range(3):
                    await s.look()
                assert s.routing() == before
                back(mount)
                await s.look()
                assert s.routing() == before and not s.source.missing
            assert caplog.text.count("is not there") == 2
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            assert len(s.door.host.upstream.pools) == 11

    run(test())


@pytest.mark.parametrize("lose", [gone, empty])
def test_variables_whose_mount_is_lost_are_missed(
    tmp_path: Path, lose: Any, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)
    folder = tmp_path / "group_vars"
    folder.mkdir()
    (folder / "bay_1.yml").write_text("state: draining\n")

    async def test() -> None:
        async with scene(tmp_path, name="workers.yml") as s:
            s.write(write_ansible(s.fleet(12)).replace(b"state: ready", b""))
            s.file.write_text("all:\n  children:\n    bay_1:\n      hosts:\n" + "".join(
                f"        {w.name}: {{ansible_host: 127.0.0.1, ansible_port: {w.port}, room: {w.room}}}\n"
                for w in s.fleet(12).workers))  # fmt: skip
            await s.look()
            assert s.source.pending is not None  # the whole fleet drains: held back as well
            assert await s.source.confirm(s.source.pending.done.confirmation)
            assert {k.worker.state for k in s.door.member_list.members.values()} == {"draining"}
            (folder / "bay_1.yml").write_text("weight: 2\n")
            await s.look()
            before = s.routing()
            assert {k.worker.weight for k in s.door.member_list.members.values()} == {2.0}
            lose(folder)
            await s.look()
            assert s.routing() == before and "as when a mount is lost" in caplog.text
            back(folder)
            await s.look()
            assert s.routing() == before and s.source.pending is None

    run(test())


def test_a_file_system_that_hangs_holds_up_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)
    free, stamp = threading.Event(), files_module.stamp

    def hanging(path: Path) -> object:
        free.wait(15.0)
        return stamp(path)

    async def test() -> None:
        async with scene(tmp_path) as s:
            before = s.routing()
            monkeypatch.setattr(source_module, "stamp", hanging)
            s.write(write_sheet(s.fleet(11)))
            look = asyncio.ensure_future(s.look())
            served = s.served
            await until(lambda: s.served > served + 200)
            assert not look.done() and s.routing() == before
            free.set()
            await look
            assert len(s.door.host.upstream.pools) == 11

    run(test())


def test_removing_a_worker_under_load_loses_nothing_and_sends_nothing_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            leaving = s.workers[11]
            await until(lambda: leaving.last is not None)
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            before = leaving.fleet.seen.total()
            served = s.served
            await until(lambda: s.served > served + 200)
            assert leaving.fleet.seen.total() == before  # not one more, from the change on

    run(test())


def test_what_is_out_at_a_removed_worker_runs_to_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(source_module, "read_beside", inline)

    async def test() -> None:
        async with scene(tmp_path) as s:
            leaving = s.workers[11]
            answered, held = asyncio.Event(), list[str]()

            def hold_writes(worker: stand.Worker, seen: stand.Seen) -> stand.Reply:
                # A read that waits for long goes to another worker: only a write stays where it is.
                if seen.method != "POST":
                    return stand.Reply()
                if worker is leaving:
                    held.append(seen.header("request-id"))
                return stand.Reply(gate=answered)

            for worker in s.workers:  # all hold: so many at once come to each of them
                worker.plan = partial(hold_writes, worker)

            async def write() -> int:
                async with Caller(s.door) as caller:
                    return (await caller.ask("POST /read/7", b"x")).status

            writes = [asyncio.ensure_future(write()) for _ in range(2 * len(s.workers))]
            await until(lambda: held)
            s.write(write_sheet(s.fleet(11)))
            await s.look()
            assert all(leaving.fleet.out[name] == 1 for name in held)  # still out when the worker is gone
            answered.set()
            assert set(await asyncio.gather(*writes)) == {200}
            assert all(leaving.fleet.runs[name] == 1 for name in held)

    run(test())


def test_an_address_that_moves_never_gets_the_others_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limits = "[inventory.limits]\nfleet = 1.0\nbay = 1.0\nmoved = 1.0\n[rules]\nwarm_up = 0.0\n"

    async def test() -> None:
        async with scene(tmp_path, 2, 2, extra=limits) as s:
            host, meant = s.door.host, Counter[tuple[str, int]]()
            start = host.upstream.start_attempt

            def watched(backend: int, payload: bytes, *rest: Any) -> Any:
                name = payload.partition(b"\r\nrequest-id: ")[2].partition(b"\r\n")[0].decode()
                meant[name, s.door.member_list.members[backend].address.port] += 1
                return start(backend, payload, *rest)

            monkeypatch.setattr(host.upstream, "start_attempt", watched)
            for worker in s.workers:  # some are out while their address becomes the other's
                worker.plan = lambda seen: stand.Reply(delay=0.002)
            for turn in range(6):  # two workers swap their addresses again and again
                listed = list(s.fleet(2).workers)
                a, b = listed[0], listed[1]
                if turn % 2 == 0:
                    listed[0] = Worker(a.name, a.host, b.port, a.room, a.bay, a.kind)
                    listed[1] = Worker(b.name, b.host, a.port, b.room, b.bay, b.kind)
                s.write(write_sheet(Inventory(tuple(listed))))
                await s.look()
                for number, known in s.door.member_list.members.items():
                    assert host.upstream.pools[number].address == known.address
                before = [len(w.fleet.seen) for w in s.workers]
                await until(
                    lambda before=before: all(  # type: ignore[misc]
                        len(w.fleet.seen) > count + 3 for w, count in zip(s.workers, before, strict=True)
                    )
                )
            assert len(host.upstream.pools) == 2
            for worker in s.workers:
                # One that was tried again may have been meant for both: each try has its own.
                got = [name for name, _ in meant if worker.fleet.seen[name]]
                assert len(got) > 20
                assert all(worker.fleet.seen[name] <= meant[name, worker.port] for name in got)

    run(test())


def test_the_reader_of_its_own_does_the_same(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "w.csv"
        path.write_bytes(damage.SHEET.encode())
        from ivymux.inventory.change_policy import Limits

        whole = await read_beside(Task(str(path), Limits(), None, None))
        assert whole.inventory is not None and whole == work(Task(str(path), Limits(), None, None))
        path.write_bytes(damage.SHEET.encode()[:150])
        task = Task(str(path), Limits(), whole.inventory, None)
        assert await read_beside(task) == work(task)
        gone = await read_beside(Task(str(tmp_path / "none"), Limits(), None, None))
        assert gone.inventory is None and "is not there" in gone.problem

    run(test())


def test_from_a_rename_to_its_effect(tmp_path: Path) -> None:
    """With the settings as they come; a wide bound, the benchmark has the figure."""

    async def test() -> None:
        async with scene(tmp_path) as s:
            s.source.settle.rest, s.source.watch = 0.5, 0.25
            s.door.task(s.source.run())
            s.write(write_sheet(s.fleet(11)))
            began = time.monotonic()
            await until(lambda: len(s.door.host.upstream.pools) == 11)
            assert time.monotonic() - began < 5.0

    run(test())
