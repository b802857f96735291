"""The gateway's replica of the state in etcd and its copy on disk, tested without a socket."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from ivymux.desired.etcd import replica as replica_module
from ivymux.desired.etcd.cache import Cache, Known
from ivymux.desired.etcd.keys import Head, Keys, State, packed
from ivymux.desired.etcd.replica import MAX_WATCH_LAG_S, ForeignState, Replica
from ivymux.desired.etcd.wire import Event, Kv
from ivymux.desired.model import StoreDamaged

KEYS = Keys("/ivymux/")


def state(revision: int, mod: int, lineage: str = "one") -> Kv:
    return Kv(KEYS.state, packed(State(revision, lineage)), mod, 1)


def head(name: str, revision: int, uid: str = "") -> Head:
    return Head(name, uid or f"u-{name}", revision, 0.0, "b" * 64, [], [])


def kv(tenant: Head, mod: int) -> Kv:
    return Kv(KEYS.tenant(tenant.name), packed(tenant), mod, mod)


def put_events(*kvs: Kv) -> list[Event]:
    return [Event(found.key, found) for found in kvs]


def loaded(*heads: Head, revision: int = 9, at: int = 9) -> Replica:
    replica = Replica(KEYS)
    replica.load([state(revision, at), *(kv(h, at) for h in heads)], at)
    return replica


def test_a_full_read_and_a_watch_give_the_same_replica() -> None:
    rng = random.Random(1)
    for _ in range(200):
        watched, heads, at = loaded(), dict[str, Head](), 9
        for _ in range(20):
            at += 1
            name = rng.choice("abc")
            if name in heads and rng.random() < 0.4:
                del heads[name]
                events = [Event(KEYS.tenant(name), None)]
            else:
                uid = heads[name].uid if name in heads else f"u{at}"
                heads[name] = head(name, at, uid)
                events = put_events(kv(heads[name], at))
            watched.apply([*events, *put_events(state(at, at))], at)
            if rng.random() < 0.1:  # a restarted watch delivers some events twice
                watched.apply(put_events(state(at, at)), at)
        assert watched.heads == heads and watched.revision == watched.at == at
        read = loaded(*heads.values(), revision=at, at=at)
        assert read.heads == watched.heads
        # A reader that starts at any revision ends with the same tenants.
        for begin in range(9, at):
            changed, gone = watched.changes_since(begin)
            assert gone is not None
            uids = {g.uid for g in gone}
            assert not uids & {h.uid for h in heads.values()}
            assert all(h in changed for h in heads.values() if h.revision > begin)


def test_a_new_tenant_of_the_same_name_replaces_the_old_one() -> None:
    replica = loaded(head("a", 3, "first"))
    replica.apply(put_events(state(11, 11), kv(head("a", 11, "second"), 11)), 11)
    changed, gone = replica.changes_since(9)
    assert gone is not None and [g.uid for g in gone] == ["first"] and [h.uid for h in changed] == ["second"]
    # The same holds for a full read.
    replica.load([state(12, 12), kv(head("a", 12, "third"), 12)], 12)
    gone = replica.changes_since(11)[1]
    assert gone is not None and [g.uid for g in gone] == ["second"]


def test_deletions_are_bounded_and_a_reader_further_back_gets_all_tenants(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replica_module, "MAX_GONE", 3)
    replica = loaded(*(head(name, 1) for name in "abcdef"))
    for turn, name in enumerate("abcde", 10):
        replica.apply([Event(KEYS.tenant(name), None), *put_events(state(turn, turn))], turn)
    assert replica.changes_since(9) == ([head("f", 1)], None)
    gone = replica.changes_since(11)[1]
    assert gone is not None and [g.name for g in gone] == ["c", "d", "e"]


@pytest.mark.parametrize(
    ("kvs", "why"),
    [
        ([], "began anew"),
        ([state(99, 50, "other")], "replaced by another one"),
        ([state(8, 50)], "went back"),
    ],
)
def test_a_foreign_state_is_not_followed(kvs: list[Kv], why: str) -> None:
    replica = loaded(head("a", 3))
    with pytest.raises(ForeignState, match=why):
        replica.load(kvs, 50)
    with pytest.raises(ForeignState, match=why):
        replica.apply(put_events(*kvs) or [Event(KEYS.state, None), Event(KEYS.tenant("a"), None)], 50)
    with pytest.raises(ForeignState, match=why):
        replica.needs_full_read(kvs[0] if kvs else None, 50, 0.0)
    assert replica.revision == 9 and replica.at == 9 and list(replica.heads) == ["a"] and replica.gone == []


def test_a_restored_state_is_followed_even_if_etcds_revisions_restart() -> None:
    """A backup was restored to a new etcd, whose own revisions are low again."""
    replica = loaded(head("a", 3), revision=900, at=900)
    assert replica.needs_full_read(state(1_000_900, 4), 4, 0.0)  # etcd's revision went back
    replica.load([state(1_000_900, 4), kv(head("b", 1_000_900), 4)], 4)
    assert replica.at == 4 and list(replica.heads) == ["b"]
    gone = replica.changes_since(900)[1]
    assert gone is not None and [g.name for g in gone] == ["a"]


def test_a_watch_that_lags_too_long_needs_a_full_read() -> None:
    replica = loaded()
    assert not replica.needs_full_read(state(9, 9), 20, 0.0)  # other keys were written
    assert not replica.needs_full_read(state(10, 21), 21, 1.0)  # the watch may deliver it soon
    assert not replica.needs_full_read(state(10, 21), 21, 1.0 + MAX_WATCH_LAG_S / 2)
    replica.apply(put_events(state(10, 21)), 21)
    assert not replica.needs_full_read(state(10, 21), 25, 1.0 + 2 * MAX_WATCH_LAG_S)
    assert not replica.needs_full_read(state(11, 26), 26, 10.0)
    assert replica.needs_full_read(state(11, 26), 27, 10.0 + MAX_WATCH_LAG_S)


def test_undecodable_data_changes_nothing() -> None:
    replica = loaded(head("a", 3))
    broken = Kv(KEYS.tenant("a"), b"\x01", 12, 1)
    with pytest.raises(StoreDamaged):
        replica.apply(put_events(state(12, 12), broken), 12)
    with pytest.raises(StoreDamaged):
        replica.load([state(12, 12), broken], 12)
    assert replica.revision == 9 and replica.heads["a"] == head("a", 3)


def test_a_damaged_copy_on_disk_is_treated_as_missing(tmp_path: Path) -> None:
    cache = Cache(tmp_path / "cache")
    known = Known(State(7, "one"), [head("a", 3)], 70, 1000.0)
    assert cache.known() is None
    cache.save(known)
    assert cache.known() == known and (tmp_path / "cache").stat().st_mode & 0o077 == 0
    data = (tmp_path / "cache" / "state").read_bytes()
    for at in range(len(data)):
        (tmp_path / "cache" / "state").write_bytes(data[:at])
        assert cache.known() is None
        flipped = bytearray(data)
        flipped[at] ^= 1
        (tmp_path / "cache" / "state").write_bytes(flipped)
        assert cache.known() is None
    from ivymux.tenants.model import digest

    name = digest(b"text")
    cache.write(name, b"text")
    assert cache.text(name) == b"text"
    (tmp_path / "cache" / name).write_bytes(b"tex")
    assert cache.text(name) is None and cache.text("0" * 64) is None
    cache.save(known)  # deletes texts that no tenant refers to
    assert [p.name for p in (tmp_path / "cache").iterdir()] == ["state"]
