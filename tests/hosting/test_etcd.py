"""Gateways that follow one desired state in etcd, with an etcd that fails, stalls, compacts or is reset."""

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
from standins.etcd import EtcdServer, Faults, etcd_server
from standins.worker import ExecutionRecord, Worker
from tests.desired.etcd_fixtures import access, begin
from tests.desired.store_contract import change
from tests.service.fixtures import make_request, read_answer
from tests.sockets import run, until
from tests.tenants.fixtures import tenant


@dataclass
class EtcdFixture:
    """A stand-in etcd with its store, and the gateways that follow it."""

    server: EtcdServer
    store: EtcdStore
    folder: Path
    gateways: list[HostingGateway] = field(default_factory=list)
    workers: list[Worker] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)

    async def create(self, name: str, uid: str = "", **options: Any) -> int:
        worker = await Worker(ExecutionRecord()).start()
        self.workers.append(worker)
        state, blobs, self.keys[name] = tenant(name, [worker.port], **options)
        expected = self.revisions.get(name, 0)
        created = change(name, state, expected, uid or f"u-{name}", blobs=blobs)
        self.revisions[name] = await asyncio.to_thread(self.store.commit, created)
        return self.revisions[name]

    async def delete(self, name: str) -> int:
        deletion = change(name, None, self.revisions.pop(name))
        return await asyncio.to_thread(self.store.commit, deletion)

    async def start_gateway(self, name: str, cache: bool = True) -> HostingGateway:
        client_settings = access(self.server, timeout=0.5)
        follower = Follower(client_settings, "/ivymux/", name, self.folder / name if cache else None)
        await asyncio.to_thread(follower.start)
        text = f'store = "-"\nname = "{name}"\nlisten = "127.0.0.1:0"\nfollow = 0.02\n'
        gateway = HostingGateway(read_hosting(text, "hosting.toml"), follower)
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def ask(self, gateway: HostingGateway, name: str) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(make_request("GET /read/7", b"", self.keys[name], Host=f"{name}.example"))
        try:
            return (await read_answer(reader)).status
        finally:
            writer.close()

    async def wait_for_status(self, name: str, wanted: int = 200, *gateways: HostingGateway) -> None:
        """Wait until each of the gateways (by default all) answers a tenant's request with a status."""
        for gateway in gateways or self.gateways:
            end = time.monotonic() + 8
            while (got := await self.ask(gateway, name)) != wanted:
                assert time.monotonic() < end, (name, got, wanted)
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def etcd_installation(folder: Path, *names: str) -> AsyncIterator[EtcdFixture]:
    with etcd_server() as server:
        store = EtcdStore(access(server))
        await asyncio.to_thread(begin, store)
        fixture = EtcdFixture(server, store, folder)
        for name in names:
            await fixture.create(name)
        try:
            yield fixture
        finally:
            server.etcd.faults = Faults()
            for gateway in fixture.gateways:
                await gateway.close()
                await asyncio.to_thread(gateway.store.close)
            for worker in fixture.workers:
                worker.stop()
            store.close()


@pytest.fixture(autouse=True)
def shorten_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower_module, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(follower_module, "RETRY_DELAY_S", 0.02)
    monkeypatch.setattr(follower_module, "MAX_RETRY_DELAY_S", 0.1)
    monkeypatch.setattr(replica_module, "MAX_WATCH_LAG_S", 0.3)


def test_several_gateways_follow_one_state(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            for n in range(3):
                await fixture.start_gateway(f"d{n}")
            await fixture.wait_for_status("a")
            revision = await fixture.create("b")
            await fixture.wait_for_status("b")

            def have_all_reported() -> bool:
                reports = fixture.store.reports()
                return len(reports) == 3 and all(r.revision >= revision for r in reports)

            while not await asyncio.to_thread(have_all_reported):
                await asyncio.sleep(0.02)
            deleted_at = await fixture.delete("a")
            await fixture.wait_for_status("a", 421)
            while not all(r.revision >= deleted_at for r in await asyncio.to_thread(fixture.store.reports)):
                await asyncio.sleep(0.02)
            assert all("u-a" not in gateway.tenants for gateway in fixture.gateways)
            # A new tenant of the same name is a different one; a gateway that ended is no longer listed.
            await fixture.create("a", uid="u-other")
            await fixture.wait_for_status("a")
            last = fixture.gateways.pop()
            await last.close()
            await asyncio.to_thread(last.store.close)
            assert len(await asyncio.to_thread(fixture.store.reports)) == 2

    run(test())


def test_gateways_keep_serving_while_etcd_is_unreachable_and_catch_up_afterwards(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            first, second = await fixture.start_gateway("d0"), await fixture.start_gateway("d1")
            await fixture.wait_for_status("a")
            for fault in ("partition", "disconnect"):
                setattr(fixture.server.etcd.faults, fault, True)
                await until(lambda: bool(first.store_error and second.store_error))
                assert await fixture.ask(first, "a") == 200
                setattr(fixture.server.etcd.faults, fault, False)
                await fixture.create("a" + fault)
                await fixture.wait_for_status("a" + fault)
                await until(lambda: not first.store_error and not second.store_error)

    run(test())


def test_a_gateway_starts_from_its_disk_cache_while_etcd_is_unreachable(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a", "b") as fixture:
            await fixture.start_gateway("d0")
            await fixture.wait_for_status("a")
            await fixture.gateways[0].close()
            await asyncio.to_thread(fixture.gateways.pop().store.close)
            fixture.server.etcd.faults.disconnect = True
            restarted = await fixture.start_gateway("d0")
            await fixture.wait_for_status("a")
            await fixture.wait_for_status("b")
            with pytest.raises(StoreError):
                await fixture.start_gateway("without", cache=False)
            fixture.server.etcd.faults.disconnect = False
            await fixture.create("c")
            await fixture.delete("b")
            await fixture.wait_for_status("c", 200, restarted)
            await fixture.wait_for_status("b", 421, restarted)

    run(test())


def test_the_disk_cache_is_consistent_when_etcd_fails_in_the_middle_of_a_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A tenant's head is received, and etcd becomes unreachable before its texts are read."""

    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            await fixture.wait_for_status("a")
            follower = gateway.store
            assert isinstance(follower, Follower) and follower.cache is not None
            await until(lambda: follower.cached_revision == follower.replica.at)

            def raise_store_busy(name: str, uid: str) -> bytes | None:
                raise StoreBusy("etcd is away")

            blob = follower.store.blob
            monkeypatch.setattr(follower.store, "blob", raise_store_busy)
            await fixture.create("b")
            await until(lambda: "b" in follower.replica.heads)
            known = follower.cache.known()
            assert known is not None and [h.name for h in known.heads] == ["a"]
            # A gateway that is killed at this moment starts again from the state that it served.
            fixture.server.etcd.faults.disconnect = True
            restarted = Follower(access(fixture.server, timeout=0.5), "/ivymux/", "d0", tmp_path / "d0")
            await asyncio.to_thread(restarted.start)
            assert [t.name for t in restarted.changes_since(0)[1]] == ["a"]
            await asyncio.to_thread(restarted.close)
            fixture.server.etcd.faults.disconnect = False
            monkeypatch.setattr(follower.store, "blob", blob)
            await fixture.wait_for_status("b")
            await until(lambda: len(follower.cache.known().heads) == 2)  # type: ignore[union-attr]

    run(test())


def test_a_watch_that_is_cut_stalled_or_compacted_is_restarted(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            etcd = fixture.server.etcd
            etcd.faults.truncate_watch = True  # in the middle of an answer
            await fixture.create("b")
            await fixture.wait_for_status("b")
            etcd.faults.mute_watches = True  # it stays open without events
            await fixture.create("c")
            await fixture.wait_for_status("c")
            etcd.faults.mute_watches = False
            # Changes are made while etcd is unreachable, and compacted before the watch is restarted.
            etcd.faults.disconnect = True
            await until(lambda: bool(gateway.store_error))

            def missed() -> None:
                for turn in range(5):
                    value = etcd.version_at(fixture.store.keys.state, etcd.revision)
                    assert value is not None and value.value is not None
                    at = etcd.revision + 1
                    etcd.write_version(fixture.store.keys.at("other", str(turn)), b"x", at)
                    etcd.revision = at
                etcd.compact({"revision": str(etcd.revision)})

            fixture.server.run_on_loop(missed)
            seen = await asyncio.to_thread(lambda: etcd.compacted)
            etcd.faults.disconnect = False
            await fixture.create("d")
            await fixture.wait_for_status("d")
            assert isinstance(gateway.store, Follower) and gateway.store.replica.at > seen
            for name in "abc":
                assert await fixture.ask(gateway, name) == 200

    run(test())


def test_after_a_compaction_past_its_watch_a_gateway_reads_the_whole_state_again(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            assert isinstance(gateway.store, Follower)
            follower, etcd = gateway.store, fixture.server.etcd
            await until(lambda: follower.end_watch is not None)
            load = follower.load
            follower.load = lambda: None  # type: ignore[method-assign]  # the watch continues from its last revision
            load_count: list[int] = []

            def count_load() -> None:
                load_count.append(1)
                load()

            etcd.faults.refuse_watches = True
            fixture.server.run_on_loop(etcd.end_watches)
            await until(lambda: bool(gateway.store_error))
            await fixture.create("b")
            fixture.server.run_on_loop(lambda: etcd.compact({"revision": str(etcd.revision)}))
            follower.load = count_load  # type: ignore[method-assign]
            etcd.faults.refuse_watches = False
            await fixture.wait_for_status("b")
            assert load_count

    run(test())


def test_a_watch_that_never_starts_times_out_and_an_idle_one_does_not(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            assert isinstance(gateway.store, Follower)
            etcd, follower = fixture.server.etcd, gateway.store
            await until(lambda: follower.end_watch is not None)
            watch_end = follower.end_watch
            # Thirty reads, 40 ms or more apart, take longer than the time-out of a call.
            assert 2 * follower.store.client.access.timeout < 30 * 0.8 * follower_module.CHECK_INTERVAL_S
            read_count = etcd.calls["/v3/kv/range"]
            await until(lambda: etcd.calls["/v3/kv/range"] > read_count + 30)
            assert follower.end_watch is watch_end and not gateway.store_error
            etcd.faults.watches_to_hang = 1
            fixture.server.run_on_loop(etcd.end_watches)
            await until(lambda: etcd.faults.watches_to_hang == 0)
            await fixture.create("b")
            await fixture.wait_for_status("b")
            assert await fixture.ask(gateway, "a") == 200

    run(test())


def test_a_reset_etcd_is_not_followed_until_a_copy_is_restored(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            await fixture.wait_for_status("a")
            etcd = fixture.server.etcd
            kept = {n: etcd.version_at(n, etcd.revision) for n in etcd.all_keys}
            fixture.server.run_on_loop(etcd.reset)
            await until(lambda: "began anew" in gateway.store_error)
            assert await fixture.ask(gateway, "a") == 200
            # The state of another installation in the same etcd is not followed either.
            await asyncio.to_thread(begin, fixture.store)
            await until(lambda: "replaced by another one" in gateway.store_error)
            assert await fixture.ask(gateway, "a") == 200 and "u-a" in gateway.tenants

            def restore() -> None:
                etcd.reset()
                for name, version in kept.items():
                    if version is not None and not version.lease:
                        etcd.put({"key": encoded(name), "value": encoded(version.value or b"")})

            fixture.server.run_on_loop(restore)
            await until(lambda: not gateway.store_error)
            await fixture.create("b")
            await fixture.wait_for_status("b")
            assert await fixture.ask(gateway, "a") == 200

    run(test())


def encoded(data: bytes) -> str:
    from base64 import b64encode

    return b64encode(data).decode()


def test_a_slow_etcd_delays_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            await fixture.wait_for_status("a")
            fixture.server.etcd.faults.delay = 0.3
            began = time.monotonic()
            for _ in range(50):
                assert await fixture.ask(gateway, "a") == 200
            # Fifty requests with one call to etcd each would take longer.
            assert time.monotonic() - began < 50 * 0.3
            await fixture.create("b")
            await fixture.wait_for_status("b")

    run(test())


def test_a_full_disk_of_a_gateway_prevents_only_its_cache(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with etcd_installation(tmp_path, "a") as fixture:
            gateway = await fixture.start_gateway("d0")
            assert isinstance(gateway.store, Follower) and gateway.store.cache is not None

            def full(name: str, data: bytes) -> None:
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(gateway.store.cache, "write", full)
            await fixture.create("b")
            await fixture.wait_for_status("b")
            await fixture.create("c")
            await fixture.wait_for_status("c")
            warnings = [r for r in caplog.records if "can't be kept on the disk" in r.getMessage()]
            assert len(warnings) == 1

    run(test())


def test_the_operators_page_shows_a_file_that_can_be_served() -> None:
    page = (Path(__file__).parents[2] / "docs" / "operators" / "tenants.md").read_text()
    blocks = [
        "\n".join(line[4:] for line in part.splitlines() if line.startswith("    "))
        for part in page.split("\n\n") if "listen = " in part
    ]  # fmt: skip
    first, several = [read_hosting(block, "page") for block in blocks]
    assert first.admin is not None and several.file.etcd is not None and several.file.tally.doors == 2
