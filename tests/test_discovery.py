"""The discovery client: its watch, and the ids of backends."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from ivymux.data_plane.limits import Address, parse_address
from ivymux.platform import discovery
from ivymux.platform.discovery import BackendNames, Discovery, backend_id
from orchidhill.interface import Listing, Members, State

from .sockets import FakeAgent, host_line, listening, run, until

Received = list[tuple[Members, dict[int, Address]]]


def change(seq: int, *hosts: Any, whole: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()


def start(endpoint: str) -> tuple[Discovery, Received]:
    received: Received = []
    names = BackendNames(("a", "b"), ("m1", "m2"))
    return Discovery(parse_address(endpoint), names, lambda *update: received.append(update)), received


def test_names_map_to_the_same_ids_everywhere() -> None:
    assert backend_id("s-5be2a07c") == 0x5BE2A07C
    assert backend_id("worker-7") == backend_id("worker-7") != backend_id("worker-8")
    assert 0 <= backend_id("s-5BE2A07C") < 1 << 32


def test_lists_and_changes_are_passed_on() -> None:
    async def test() -> None:
        line = host_line("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
        agent = FakeAgent([change(42, line, whole=True), b"", change(43, line | {"health": "Gone"})])
        async with listening(agent.handle) as endpoint:
            client, received = start(endpoint)
            await until(lambda: len(received) == 3)
            assert agent.targets == ["/api/targets", "/api/targets?watch=1&from=41"]
            del received[0]
            assert [m.listing for m, _ in received] == [Listing.FULL, Listing.DELTA]
            (entry,) = received[0][0].entries
            assert (entry.backend, entry.zone, entry.kind, entry.cell) == (7, 1, 1, 3)
            assert (entry.started, entry.state) == (1764300000.25, State.READY)
            assert received[0][1] == {7: Address("127.0.0.1", 81)}
            assert received[1][0].entries[0].state is State.GONE
            client.close()

    run(test())


@pytest.mark.parametrize(
    "bad",
    [b"{", b"[]", b'{"seq":1}', change(42, 7), change(42, {"host": "s-00000001"}), b"\xff\xfe"],
)
def test_bad_lines_are_skipped(bad: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        agent = FakeAgent([bad, change(43, host_line("s-00000007", "127.0.0.1:81"))])
        async with listening(agent.handle) as endpoint:
            client, received = start(endpoint)
            await until(lambda: received and received[-1][0].version == 43)
            assert [e.backend for m, _ in received for e in m.entries] == [7]
            assert len(agent.targets) == 2
            client.close()

    run(test())
    assert "skipped" in caplog.text


# A change must not be lost when a watch ends.  A restarted agent may number its versions from a lower number;
# its changes must not be taken for old ones.
def test_a_new_watch_begins_with_the_whole_list() -> None:
    async def test() -> None:
        agent = FakeAgent([change(44), b"<end>"])
        async with listening(agent.handle) as endpoint:
            client, received = start(endpoint)
            await until(lambda: len(agent.targets) == 2)
            agent.watch_lines.clear()
            agent.whole_list = change(7, host_line("s-00000007", "127.0.0.1:81"), whole=True)
            await until(lambda: len(agent.targets) == 4)
            assert agent.targets[3] == "/api/targets?watch=1&from=7"
            agent.watch_lines += [change(7), change(8)]  # the first of these is an old change
            await until(lambda: received[-1][0].version == 8)
            assert [m.version for m, _ in received] == [41, 44, 7, 8]
            client.close()

    run(test())


# When the configuration names another agent, the old agent's list and changes are used until the new agent's
# whole list has been received, whatever its version.
def test_a_new_agent_replaces_the_old_one_with_its_whole_list() -> None:
    async def test() -> None:
        old = FakeAgent(whole_list=change(90, host_line("s-00000007", "127.0.0.1:81"), whole=True))
        new = FakeAgent(whole_list=change(3, host_line("s-00000008", "127.0.0.1:82"), whole=True))
        gate = asyncio.Event()

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await new.handle(reader, writer)

        async with listening(old.handle) as endpoint, listening(late) as other:
            client, received = start(endpoint)
            await until(lambda: len(old.targets) == 2)
            client.change_address(parse_address(other))
            old.watch_lines.append(change(91))
            await until(lambda: received[-1][0].version == 91)
            gate.set()
            new.watch_lines.append(change(4))
            await until(lambda: received[-1][0].version == 4 and not old.open_connections)
            assert [m.version for m, _ in received] == [90, 91, 3, 4]
            assert len(old.targets) == 2 and len(client.sources) == 1
            client.close()

    run(test())


def test_a_whole_list_without_a_valid_entry_does_not_remove_all_backends() -> None:
    names = BackendNames(("a",), ("m2",))
    names.parse_members({"seq": 1, "whole": True, "hosts": [host_line("s-00000007", "127.0.0.1:81")]})
    with pytest.raises(ValueError, match="no entry"):
        names.parse_members({"seq": 2, "whole": True, "hosts": [{"host": "s-00000007"}]})
    assert names.name_by_id == {7: "s-00000007"}


# Backends are replaced all day by others with new names, so kept names would fill the memory.
def test_names_of_removed_backends_are_forgotten() -> None:
    names = BackendNames(("a",), ("m2",))
    for number in range(50):
        line = host_line(f"s-{number:08x}", "127.0.0.1:81")
        names.parse_members({"seq": 2 * number, "whole": False, "hosts": [line]})
        names.parse_members({"seq": 2 * number + 1, "whole": False, "hosts": [line | {"health": "Gone"}]})
    assert names.name_by_id == {}


def test_a_silent_watch_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed machine leaves its connections open; the watch must not wait for it forever."""
    monkeypatch.setattr(discovery, "WATCH_SILENCE_S", 0.1)

    async def test() -> None:
        agent = FakeAgent()
        async with listening(agent.handle) as endpoint:
            client, _ = start(endpoint)
            await until(lambda: len(agent.targets) == 4)
            client.close()

    run(test())


def test_an_agent_that_does_not_answer_is_soon_asked_again() -> None:
    """An agent that is asked while discovery is down never answers, and treats later lists as already sent.

    Waiting for `WATCH_SILENCE_S` would take too long.
    """

    async def test() -> None:
        agent, calls = FakeAgent(), 0

        async def down_at_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await (reader.read() if calls == 1 else agent.handle(reader, writer))

        async with listening(down_at_first) as endpoint:
            started_at = asyncio.get_running_loop().time()
            client, received = start(endpoint)
            await until(lambda: bool(received))
            assert calls == 2 and asyncio.get_running_loop().time() - started_at < 2.0
            client.close()

    run(test())


def test_a_line_that_is_too_long_ends_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_LINE_BYTES", 1000)

    async def test() -> None:
        async def endless(reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            agent.targets.append("")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 2048 + b"\r\n"
            )
            await reader.read()

        agent = FakeAgent()
        async with listening(endless) as endpoint:
            client, received = start(endpoint)
            await until(lambda: len(agent.targets) == 2)
            assert not received
            client.close()

    run(test())


def test_two_names_with_one_id_are_not_taken_for_one_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "backend_id", lambda name: 7)
    hosts = [host_line("one", "127.0.0.1:81"), host_line("two", "127.0.0.1:82")]
    members, addresses = BackendNames(("a",), ("m2",)).parse_members(
        {"seq": 1, "whole": True, "hosts": hosts}
    )
    assert len(members.entries) == 1 and addresses == {7: Address("127.0.0.1", 81)}
