"""Lists of backends and proxies that are longer than a message."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.proxy.membership_view import UP, MembershipView
from ivymux.registry import message_kinds as kinds
from ivymux.registry.backend_records import MAX_TEXT_CHARS, BackendRecords
from ivymux.registry.program import Registry
from ivymux.registry.proxy_updates import (
    NumberedEntry,
    proxy_change_messages,
    snapshot_messages,
    split_changes,
)
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster
from ivymux.transport.frames import MAX_FRAME_BYTES, Message

from ..sockets import run, until

BATCH_BYTES = 600
OVERHEAD_BYTES = 300  # of a message beside its lists
LONG_TEXT = "\U0001f5d2" * MAX_TEXT_CHARS  # four bytes each
HEARTBEAT = {
    "service_name": LONG_TEXT, "address": "10.0.0.9:80", "zone_name": LONG_TEXT,
    "config_version": "v1", "capacity": 2, "oper_state": "in_service", "warmup_left": "0ms", "call_seq": 1,
}  # fmt: skip


def entry(number: int, id_length: int) -> NumberedEntry:
    return NumberedEntry(number, [f"{number:0{id_length}}", "s", "10.0.0.9:80", "hall", 2, UP, 1, 0.0])


ENTRIES = st.dictionaries(st.integers(5, 60), st.integers(1, 200), max_size=25).map(
    lambda drawn: [entry(number, length) for number, length in drawn.items()]
)
PROXIES = st.lists(st.integers(1, 200), max_size=20).map(
    lambda lengths: [
        ["p" * length + str(n), "10.9.0.1", 7342, "hall", 1.0] for n, length in enumerate(lengths)
    ]
)


@given(ENTRIES, PROXIES, st.integers(0, 30))
def test_a_proxy_learns_all_by_messages_below_the_bound(
    entries: list[NumberedEntry], proxies: list[list[Any]], stop_after: int
) -> None:
    """The proxy may lose its connection after any message; it then asks for what it lacks."""
    view, known, last = MembershipView(), 0, 70
    view.apply_snapshot("a", "run", 0, True, [["old", "s", "10.0.0.8:80", "hall", 2, UP, 1, 0.0]], [], 0.0)
    for stop in (stop_after, None):
        missing = [e for e in entries if e.change_number > known]
        batches = split_changes(known, last, missing, BATCH_BYTES)
        assert batches[0].previous == known and batches[-1].last == last
        assert all(one.last == other.previous for one, other in pairwise(batches))
        fields = {"run": "run", "whole": known == 0}
        for message in [*snapshot_messages(fields, batches, proxies, BATCH_BYTES)][:stop]:
            assert len(msgspec.json.encode(message)) <= 2 * BATCH_BYTES + OVERHEAD_BYTES
            known = apply(view, message) or known
    assert view.registry("a").last_sequence == last
    assert view.backends.keys() == {"old", *(e.fields[0] for e in entries)}
    assert view.proxies().keys() == {proxy[0] for proxy in proxies}
    assert not view.backends["old"].reports


def apply(view: MembershipView, message: Message) -> int:
    """Apply a registry's message as a proxy does; return the number of the last change in it, else 0."""
    if message["k"] == kinds.PROXY_CHANGES:
        view.update_proxies("a", message["on"], message["off"], 0.0)
        return 0
    if message["k"] == kinds.SNAPSHOT:
        view.apply_snapshot(
            "a", message["run"], message["n"], message["whole"], message["i"], message["doors"], 0.0
        )
    else:
        assert view.apply_changes("a", message["f"], message["n"], message["i"], 0.0)
    return int(message["n"])


def test_no_change_is_one_message_and_no_proxy_is_none() -> None:
    assert [batch.backends for batch in split_changes(3, 7, [])] == [[]]
    assert not [*proxy_change_messages([], [])]


# Guards against a proxy that learns of no backend, as the list of all does not fit into a message.
@pytest.mark.parametrize("bounds", [0.5, 1, 3])
def test_a_proxy_learns_of_backends_around_a_messages_bound(tmp_path: Path, bounds: float) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        fill(registry.backends, int(bounds * MAX_FRAME_BYTES))
        await registry.start()
        await cluster.start(cluster.proxy_ips[0])
        await until(
            lambda: any(p.acked_change == registry.backends.last_change for p in registry.proxies.values())
        )
        assert "not sent" not in (tmp_path / "log.txt").read_text()
        await registry.stop()
        await cluster.close()

    run(test())


def fill(backends: BackendRecords, size: int) -> None:
    """Add backends until their list has `size` bytes."""
    number, total = 0, 0
    while total < size:
        body = {**HEARTBEAT, "address": f"10.0.{number // 250}.{number % 250}:80"}
        backends.heartbeat(f"{number:0{MAX_TEXT_CHARS}}", body, 0.0)
        total += MAX_TEXT_CHARS + 2 * len(LONG_TEXT.encode())
        number += 1
