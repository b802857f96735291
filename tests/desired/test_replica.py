"""What a front door makes of what it hears from etcd, without a socket."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from ivymux.desired.etcd import replica as replica_module
from ivymux.desired.etcd.cache import Cache, Known
from ivymux.desired.etcd.keys import Head, Keys, State, packed
from ivymux.desired.etcd.replica import MAX_WATCH_LAG_S, OtherState, Replica
from ivymux.desired.etcd.wire import Event, Kv
from ivymux.desired.model import StoreDamaged

KEYS = Keys("/ivymux/")


def state(revision: int, mod: int, lineage: str = "one") -> Kv:
    return Kv(KEYS.state, packed(State(revision, lineage)), mod, 1)


def head(name: str, revision: int, uid: str = "") -> Head:
    return Head(name, uid or f"u-{name}", revision, 0.0, "b" * 64, [], [])


def kv(made: Head, mod: int) -> Kv:
    return Kv(KEYS.tenant(made.name), packed(made), mod, mod)


def told(*kvs: Kv) -> list[Event]:
    return [Event(found.key, found) for found in kvs]


def loaded(*heads: Head, revision: int = 9, at: int = 9) -> Replica:
    made = Replica(KEYS)
    made.load([state(revision, at), *(kv(h, at) for h in heads)], at)
    return made


def test_a_reading_and_a_watch_lead_to_the_same() -> None:
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
                events = told(kv(heads[name], at))
            watched.apply([*events, *told(state(at, at))], at)
            if rng.random() < 0.1:  # a watch that began anew tells some of it twice
                watched.apply(told(state(at, at)), at)
        assert watched.heads == heads and watched.revision == watched.at == at
        read = loaded(*heads.values(), revision=at, at=at)
        assert read.heads == watched.heads
        # Who follows from any revision on ends with the same tenants.
        for begin in range(9, at):
            changed, gone = watched.changes_since(begin)
            assert gone is not None
            uids = {g.uid for g in gone}
            assert not uids & {h.uid for h in heads.values()}
            assert all(h in changed for h in heads.values() if h.revision > begin)


def test_a_tenant_of_the_same_name_is_another_one() -> None:
    made = loaded(head("a", 3, "first"))
    made.apply(told(state(11, 11), kv(head("a", 11, "second"), 11)), 11)
    changed, gone = made.changes_since(9)
    assert gone is not None and [g.uid for g in gone] == ["first"] and [h.uid for h in changed] == ["second"]
    # So is one that a reading of all finds.
    made.load([state(12, 12), kv(head("a", 12, "third"), 12)], 12)
    gone = made.changes_since(11)[1]
    assert gone is not None and [g.uid for g in gone] == ["second"]


def test_who_went_is_bounded_and_then_all_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "MAX_GONE", 3)
    made = loaded(*(head(name, 1) for name in "abcdef"))
    for turn, name in enumerate("abcde", 10):
        made.apply([Event(KEYS.tenant(name), None), *told(state(turn, turn))], turn)
    assert made.changes_since(9) == ([head("f", 1)], None)
    gone = made.changes_since(11)[1]
    assert gone is not None and [g.name for g in gone] == ["c", "d", "e"]


@pytest.mark.parametrize(
    ("kvs", "why"),
    [
        ([], "began anew"),
        ([state(99, 50, "other")], "replaced by another one"),
        ([state(8, 50)], "went back"),
    ],
)
def test_another_state_is_not_followed(kvs: list[Kv], why: str) -> None:
    made = loaded(head("a", 3))
    with pytest.raises(OtherState, match=why):
        made.load(kvs, 50)
    with pytest.raises(OtherState, match=why):
        made.apply(told(*kvs) or [Event(KEYS.state, None), Event(KEYS.tenant("a"), None)], 50)
    with pytest.raises(OtherState, match=why):
        made.behind(kvs[0] if kvs else None, 50, 0.0)
    assert made.revision == 9 and made.at == 9 and list(made.heads) == ["a"] and made.gone == []


def test_one_that_goes_on_beyond_is_followed_whatever_etcd_counts() -> None:
    """A copy was put back into an etcd that began anew: its own revisions are small again."""
    made = loaded(head("a", 3), revision=900, at=900)
    assert made.behind(state(1_000_900, 4), 4, 0.0)  # etcd went back: all is to be read
    made.load([state(1_000_900, 4), kv(head("b", 1_000_900), 4)], 4)
    assert made.at == 4 and list(made.heads) == ["b"]
    gone = made.changes_since(900)[1]
    assert gone is not None and [g.name for g in gone] == ["a"]


def test_a_watch_that_falls_silent_is_noticed_and_one_that_is_quick_is_left() -> None:
    made = loaded()
    assert not made.behind(state(9, 9), 20, 0.0)  # others write beside it
    assert not made.behind(state(10, 21), 21, 1.0)  # just now: the watch may be on its way
    assert not made.behind(state(10, 21), 21, 1.0 + MAX_WATCH_LAG_S / 2)
    made.apply(told(state(10, 21)), 21)
    assert not made.behind(state(10, 21), 25, 1.0 + 2 * MAX_WATCH_LAG_S)
    assert not made.behind(state(11, 26), 26, 10.0)
    assert made.behind(state(11, 26), 27, 10.0 + MAX_WATCH_LAG_S)


def test_what_cannot_be_read_changes_nothing() -> None:
    made = loaded(head("a", 3))
    broken = Kv(KEYS.tenant("a"), b"\x01", 12, 1)
    with pytest.raises(StoreDamaged):
        made.apply(told(state(12, 12), broken), 12)
    with pytest.raises(StoreDamaged):
        made.load([state(12, 12), broken], 12)
    assert made.revision == 9 and made.heads["a"] == head("a", 3)


def test_the_copy_on_the_disk_is_whole_or_none(tmp_path: Path) -> None:
    cache = Cache(tmp_path / "cache")
    known = Known(State(7, "one"), [head("a", 3)], 70, 1000.0)
    assert cache.known() is None
    cache.keep(known)
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
    cache.keep(known)  # texts that no tenant names go
    assert [p.name for p in (tmp_path / "cache").iterdir()] == ["state"]
