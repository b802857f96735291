"""The watch on discovery, and names as ids."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from ivymux.data_plane.limits import Address, parse_address
from ivymux.platform import discovery
from ivymux.platform.discovery import BackendNames, Discovery, backend_id
from orchidhill.interface import Listing, Members, State

from .sockets import Agent, host_line, listening, run, until

Heard = list[tuple[Members, dict[int, Address]]]


def change(seq: int, *hosts: Any, whole: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()


def start(dial: str) -> tuple[Discovery, Heard]:
    heard: Heard = []
    names = BackendNames(("a", "b"), ("m1", "m2"))
    return Discovery(parse_address(dial), names, lambda *told: heard.append(told)), heard


def test_names_map_to_the_same_ids_everywhere() -> None:
    assert backend_id("s-5be2a07c") == 0x5BE2A07C
    assert backend_id("worker-7") == backend_id("worker-7") != backend_id("worker-8")
    assert 0 <= backend_id("s-5BE2A07C") < 1 << 32


def test_lists_and_changes_reach_the_module() -> None:
    async def test() -> None:
        line = host_line("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
        agent = Agent([change(42, line, whole=True), b"", change(43, line | {"health": "Gone"})])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(heard) == 3)
            assert agent.targets == ["/api/targets", "/api/targets?watch=1&from=41"]
            del heard[0]
            assert [m.listing for m, _ in heard] == [Listing.FULL, Listing.DELTA]
            (entry,) = heard[0][0].entries
            assert (entry.backend, entry.zone, entry.kind, entry.cell) == (7, 1, 1, 3)
            assert (entry.started, entry.state) == (1764300000.25, State.READY)
            assert heard[0][1] == {7: Address("127.0.0.1", 81)}
            assert heard[1][0].entries[0].state is State.GONE
            watch.close()

    run(test())


@pytest.mark.parametrize(
    "bad",
    [b"{", b"[]", b'{"seq":1}', change(42, 7), change(42, {"host": "s-00000001"}), b"\xff\xfe"],
)
def test_bad_lines_are_skipped(bad: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        agent = Agent([bad, change(43, host_line("s-00000007", "127.0.0.1:81"))])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: heard and heard[-1][0].version == 43)
            assert [e.backend for m, _ in heard for e in m.entries] == [7]
            assert len(agent.targets) == 2
            watch.close()

    run(test())
    assert "skipped" in caplog.text


# Guards against a change that is lost with an ended watch, and against an agent that starts again and
# counts from a lower number: its changes must not be taken for known ones.
def test_an_ended_watch_begins_again_with_the_whole_list() -> None:
    async def test() -> None:
        agent = Agent([change(44), b"<end>"])
        async with listening(agent.handle) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            agent.lines.clear()
            agent.whole = change(7, host_line("s-00000007", "127.0.0.1:81"), whole=True)
            await until(lambda: len(agent.targets) == 4)
            assert agent.targets[3] == "/api/targets?watch=1&from=7"
            agent.lines += [change(7), change(8)]  # the first of these is known already
            await until(lambda: heard[-1][0].version == 8)
            assert [m.version for m, _ in heard] == [41, 44, 7, 8]
            watch.close()

    run(test())


# Guards against a gap when the configuration names another agent: the old list and its changes count until
# the new agent's whole list is there, whatever its numbers, and the old agent is left alone then.
def test_a_new_agent_takes_over_with_its_whole_list() -> None:
    async def test() -> None:
        old = Agent(whole=change(90, host_line("s-00000007", "127.0.0.1:81"), whole=True))
        new = Agent(whole=change(3, host_line("s-00000008", "127.0.0.1:82"), whole=True))
        gate = asyncio.Event()

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            await new.handle(reader, writer)

        async with listening(old.handle) as dial, listening(late) as other:
            watch, heard = start(dial)
            await until(lambda: len(old.targets) == 2)
            watch.change_address(parse_address(other))
            old.lines.append(change(91))
            await until(lambda: heard[-1][0].version == 91)
            gate.set()
            new.lines.append(change(4))
            await until(lambda: heard[-1][0].version == 4 and not old.open)
            assert [m.version for m, _ in heard] == [90, 91, 3, 4]
            assert len(old.targets) == 2 and len(watch.sources) == 1
            watch.close()

    run(test())


def test_a_whole_list_that_cannot_be_read_does_not_empty_the_fleet() -> None:
    names = BackendNames(("a",), ("m2",))
    names.members({"seq": 1, "whole": True, "hosts": [host_line("s-00000007", "127.0.0.1:81")]})
    with pytest.raises(ValueError, match="no entry"):
        names.members({"seq": 2, "whole": True, "hosts": [{"host": "s-00000007"}]})
    assert names.name_by_id == {7: "s-00000007"}


# Guards against growth: backends are replaced all day by ones of ever new names.
def test_names_of_backends_that_are_gone_are_let_go() -> None:
    names = BackendNames(("a",), ("m2",))
    for number in range(50):
        line = host_line(f"s-{number:08x}", "127.0.0.1:81")
        names.members({"seq": 2 * number, "whole": False, "hosts": [line]})
        names.members({"seq": 2 * number + 1, "whole": False, "hosts": [line | {"health": "Gone"}]})
    assert names.name_by_id == {}


def test_a_silent_watch_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that vanished leaves its connections open; the watch must not hang on one for ever."""
    monkeypatch.setattr(discovery, "WATCH_SILENCE_S", 0.1)

    async def test() -> None:
        agent = Agent()
        async with listening(agent.handle) as dial:
            watch, _ = start(dial)
            await until(lambda: len(agent.targets) == 4)
            watch.close()

    run(test())


def test_an_agent_that_was_asked_while_discovery_was_down_is_asked_anew_soon() -> None:
    """It never answers that call, and what it has from then on counts as told: seven seconds are too long."""

    async def test() -> None:
        agent, calls = Agent(), 0

        async def down_at_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await (reader.read() if calls == 1 else agent.handle(reader, writer))

        async with listening(down_at_first) as dial:
            began = asyncio.get_running_loop().time()
            watch, heard = start(dial)
            await until(lambda: bool(heard))
            assert calls == 2 and asyncio.get_running_loop().time() - began < 2.0
            watch.close()

    run(test())


def test_a_line_without_end_ends_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_LINE_BYTES", 1000)

    async def test() -> None:
        async def endless(reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            agent.targets.append("")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 2048 + b"\r\n"
            )
            await reader.read()

        agent = Agent()
        async with listening(endless) as dial:
            watch, heard = start(dial)
            await until(lambda: len(agent.targets) == 2)
            assert not heard
            watch.close()

    run(test())


def test_two_names_with_one_id_are_not_taken_for_one_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "backend_id", lambda name: 7)
    hosts = [host_line("one", "127.0.0.1:81"), host_line("two", "127.0.0.1:82")]
    members, addresses = BackendNames(("a",), ("m2",)).members({"seq": 1, "whole": True, "hosts": hosts})
    assert len(members.entries) == 1 and addresses == {7: Address("127.0.0.1", 81)}
