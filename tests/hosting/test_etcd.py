"""Front doors that follow one desired state in etcd: away, silent, compacted, begun anew, slow."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from ivymux.desired.etcd import follower as follower_module
from ivymux.desired.etcd import replica as replica_module
from ivymux.desired.etcd.follower import Follower
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import StoreBusy, StoreError
from ivymux.hosting.hosting_gateway import HostingGateway
from ivymux.hosting.site import read_hosting
from standins.etcd import Faults, Server, serving
from standins.worker import Fleet, Worker
from tests.desired.etcds import access, begin
from tests.desired.promises import change
from tests.service.doors import read_answer, request
from tests.sockets import run, until
from tests.tenants.making import tenant


@dataclass
class Scene:
    server: Server
    store: EtcdStore
    folder: Path
    doors: list[HostingGateway] = field(default_factory=list)
    workers: list[Worker] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)

    async def put(self, name: str, uid: str = "", **terms: Any) -> int:
        worker = await Worker(Fleet()).start()
        self.workers.append(worker)
        made, blobs, self.keys[name] = tenant(name, [worker.port], **terms)
        expected = self.revisions.get(name, 0)
        done = change(name, made, expected, uid or f"u-{name}", blobs=blobs)
        self.revisions[name] = await asyncio.to_thread(self.store.commit, done)
        return self.revisions[name]

    async def drop(self, name: str) -> int:
        gone = change(name, None, self.revisions.pop(name))
        return await asyncio.to_thread(self.store.commit, gone)

    async def door(self, name: str, cache: bool = True) -> HostingGateway:
        terms = access(self.server, timeout=0.5)
        follower = Follower(terms, "/ivymux/", name, self.folder / name if cache else None)
        await asyncio.to_thread(follower.start)
        text = f'store = "-"\nname = "{name}"\nlisten = "127.0.0.1:0"\nfollow = 0.02\n'
        door = HostingGateway(read_hosting(text, "hosting.toml"), follower)
        await door.start()
        self.doors.append(door)
        return door

    async def ask(self, door: HostingGateway, name: str) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        writer.write(request("GET /read/7", b"", self.keys[name], Host=f"{name}.example"))
        try:
            return (await read_answer(reader)).status
        finally:
            writer.close()

    async def serve(self, name: str, wanted: int = 200, *doors: HostingGateway) -> None:
        """Wait until the doors answer a tenant so."""
        for door in doors or self.doors:
            end = time.monotonic() + 8
            while (got := await self.ask(door, name)) != wanted:
                assert time.monotonic() < end, (name, got, wanted)
                await asyncio.sleep(0.01)


def troubled(door: HostingGateway) -> str:
    return door.away


@contextlib.asynccontextmanager
async def scene(folder: Path, *names: str) -> AsyncIterator[Scene]:
    with serving() as server:
        store = EtcdStore(access(server))
        await asyncio.to_thread(begin, store)
        made = Scene(server, store, folder)
        for name in names:
            await made.put(name)
        try:
            yield made
        finally:
            server.etcd.faults = Faults()
            for door in made.doors:
                await door.close()
                await asyncio.to_thread(door.store.close)
            for worker in made.workers:
                worker.stop()
            store.close()


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower_module, "LOOK", 0.05)
    monkeypatch.setattr(follower_module, "AGAIN", 0.02)
    monkeypatch.setattr(follower_module, "AGAIN_MAX", 0.1)
    monkeypatch.setattr(replica_module, "STUCK", 0.3)


def test_many_front_doors_follow_one_state(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            for n in range(3):
                await s.door(f"d{n}")
            await s.serve("a")
            revision = await s.put("b")
            await s.serve("b")

            def told() -> bool:
                reports = s.store.reports()
                return len(reports) == 3 and all(r.revision >= revision for r in reports)

            while not await asyncio.to_thread(told):
                await asyncio.sleep(0.02)
            gone = await s.drop("a")
            await s.serve("a", 421)
            while not all(r.revision >= gone for r in await asyncio.to_thread(s.store.reports)):
                await asyncio.sleep(0.02)
            assert all("u-a" not in door.residents for door in s.doors)
            # One of the same name is another one, and one door that ends is no longer waited for.
            await s.put("a", uid="u-other")
            await s.serve("a")
            last = s.doors.pop()
            await last.close()
            await asyncio.to_thread(last.store.close)
            assert len(await asyncio.to_thread(s.store.reports)) == 2

    run(test())


def test_while_it_is_away_all_go_on_with_what_they_had_and_catch_up(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            first, second = await s.door("d0"), await s.door("d1")
            await s.serve("a")
            for fault in ("partition", "refuse"):
                setattr(s.server.etcd.faults, fault, True)
                await until(lambda: bool(first.away and second.away))
                assert await s.ask(first, "a") == 200
                setattr(s.server.etcd.faults, fault, False)
                await s.put("a" + fault)
                await s.serve("a" + fault)
                await until(lambda: not first.away and not second.away)

    run(test())


def test_a_front_door_starts_from_its_disk_while_etcd_is_away(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a", "b") as s:
            await s.door("d0")
            await s.serve("a")
            await s.doors[0].close()
            await asyncio.to_thread(s.doors.pop().store.close)
            s.server.etcd.faults.refuse = True
            again = await s.door("d0")
            await s.serve("a")
            await s.serve("b")
            with pytest.raises(StoreError):
                await s.door("without", cache=False)
            s.server.etcd.faults.refuse = False
            await s.put("c")
            await s.drop("b")
            await s.serve("c", 200, again)
            await s.serve("b", 421, again)

    run(test())


def test_what_is_on_the_disk_is_whole_however_far_a_change_came(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The head of a tenant came, and etcd went away before its texts did."""

    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            await s.serve("a")
            follower = door.store
            assert isinstance(follower, Follower) and follower.cache is not None
            await until(lambda: follower.saved == follower.replica.at)

            def away(name: str, uid: str) -> bytes | None:
                raise StoreBusy("etcd is away")

            blob = follower.store.blob
            monkeypatch.setattr(follower.store, "blob", away)
            await s.put("b")
            await until(lambda: "b" in follower.replica.heads)
            known = follower.cache.known()
            assert known is not None and [h.name for h in known.heads] == ["a"]
            # Killed at this moment, it starts from what it served.
            s.server.etcd.faults.refuse = True
            again = Follower(access(s.server, timeout=0.5), "/ivymux/", "d0", tmp_path / "d0")
            await asyncio.to_thread(again.start)
            assert [t.name for t in again.since(0)[1]] == ["a"]
            await asyncio.to_thread(again.close)
            s.server.etcd.faults.refuse = False
            monkeypatch.setattr(follower.store, "blob", blob)
            await s.serve("b")
            await until(lambda: len(follower.cache.known().heads) == 2)  # type: ignore[union-attr]

    run(test())


def test_a_watch_that_is_cut_muted_or_compacted_is_mended(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            etcd = s.server.etcd
            etcd.faults.cut_watch = True  # in the middle of an answer
            await s.put("b")
            await s.serve("b")
            etcd.faults.mute_watches = True  # it stays open and tells nothing
            await s.put("c")
            await s.serve("c")
            etcd.faults.mute_watches = False
            # The watch is away while changes come, and what it missed is compacted before it is back.
            etcd.faults.refuse = True
            await until(lambda: bool(door.away))

            def missed() -> None:
                for turn in range(5):
                    value = etcd.seen(s.store.keys.state, etcd.revision)
                    assert value is not None and value.value is not None
                    at = etcd.revision + 1
                    etcd.write(s.store.keys.at("other", str(turn)), b"x", at)
                    etcd.revision = at
                etcd.compact({"revision": str(etcd.revision)})

            s.server.on_loop(missed)
            seen = await asyncio.to_thread(lambda: etcd.compacted)
            etcd.faults.refuse = False
            await s.put("d")
            await s.serve("d")
            assert isinstance(door.store, Follower) and door.store.replica.at > seen
            for name in "abc":
                assert await s.ask(door, name) == 200

    run(test())


def test_a_compaction_under_a_watch_is_told_and_all_is_read_anew(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            assert isinstance(door.store, Follower)
            follower, etcd = door.store, s.server.etcd
            await until(lambda: follower.end is not None)
            load = follower.load
            follower.load = lambda: None  # type: ignore[method-assign]  # a watch goes on from where it was
            loads: list[int] = []

            def counted() -> None:
                loads.append(1)
                load()

            etcd.faults.no_watch = True
            s.server.on_loop(etcd.end_watches)
            await until(lambda: bool(door.away))
            await s.put("b")
            s.server.on_loop(lambda: etcd.compact({"revision": str(etcd.revision)}))
            follower.load = counted  # type: ignore[method-assign]
            etcd.faults.no_watch = False
            await s.serve("b")
            assert loads

    run(test())


def test_a_watch_that_never_begins_is_given_up_and_one_with_nothing_to_tell_is_not(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            assert isinstance(door.store, Follower)
            etcd, follower = s.server.etcd, door.store
            await until(lambda: follower.end is not None)
            begun = follower.end
            # Thirty looks beside it, each 40 ms or more after the one before: longer than a call may take.
            assert 2 * follower.store.client.access.timeout < 30 * 0.8 * follower_module.LOOK
            looks = etcd.calls["/v3/kv/range"]
            await until(lambda: etcd.calls["/v3/kv/range"] > looks + 30)
            assert follower.end is begun and not door.away
            etcd.faults.hang_watch = 1
            s.server.on_loop(etcd.end_watches)
            await until(lambda: etcd.faults.hang_watch == 0)
            await s.put("b")
            await s.serve("b")
            assert await s.ask(door, "a") == 200

    run(test())


def test_an_etcd_that_began_anew_is_refused_until_a_copy_is_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            await s.serve("a")
            etcd = s.server.etcd
            kept = {n: etcd.seen(n, etcd.revision) for n in etcd.names}
            s.server.on_loop(etcd.reset)
            await until(lambda: "began anew" in door.away)
            assert await s.ask(door, "a") == 200
            # Somebody begins another installation there: it is not followed either.
            await asyncio.to_thread(begin, s.store)
            await until(lambda: "replaced by another one" in door.away)
            assert await s.ask(door, "a") == 200 and "u-a" in door.residents

            def back() -> None:
                etcd.reset()
                for name, version in kept.items():
                    if version is not None and not version.lease:
                        etcd.put({"key": encoded(name), "value": encoded(version.value or b"")})

            s.server.on_loop(back)
            await until(lambda: not door.away)
            await s.put("b")
            await s.serve("b")
            assert await s.ask(door, "a") == 200

    run(test())


def encoded(data: bytes) -> str:
    from base64 import b64encode

    return b64encode(data).decode()


def test_a_slow_etcd_holds_up_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            await s.serve("a")
            s.server.etcd.faults.slow = 0.3
            began = time.monotonic()
            for _ in range(50):
                assert await s.ask(door, "a") == 200
            # Fifty requests take less than one call to it.
            assert time.monotonic() - began < 50 * 0.3
            await s.put("b")
            await s.serve("b")

    run(test())


def test_a_full_disk_at_a_front_door_costs_only_the_copy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with scene(tmp_path, "a") as s:
            door = await s.door("d0")
            assert isinstance(door.store, Follower) and door.store.cache is not None

            def full(name: str, data: bytes) -> None:
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(door.store.cache, "write", full)
            await s.put("b")
            await s.serve("b")
            await s.put("c")
            await s.serve("c")
            told = [r for r in caplog.records if "can't be kept on the disk" in r.getMessage()]
            assert len(told) == 1

    run(test())


def test_the_operators_page_shows_a_file_that_can_be_served() -> None:
    page = (Path(__file__).parents[2] / "docs" / "operators" / "tenants.md").read_text()
    blocks = [
        "\n".join(line[4:] for line in part.splitlines() if line.startswith("    "))
        for part in page.split("\n\n") if "listen = " in part
    ]  # fmt: skip
    first, several = [read_hosting(block, "page") for block in blocks]
    assert first.admin is not None and several.file.etcd is not None and several.file.tally.doors == 2
