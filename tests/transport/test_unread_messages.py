"""Messages that wait for peers that do not read: what they take together, and who is closed."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from ivymux.transport.unread_messages import UnreadMessages


@dataclass(eq=False)
class FakePeer:
    unsent_bytes: int = 0


def write(unread: UnreadMessages, peer: FakePeer, message: bytes) -> object:
    peer.unsent_bytes += len(message)
    return unread.add(peer, message)


def test_a_message_to_many_counts_once_and_who_holds_most_alone_is_closed() -> None:
    unread = UnreadMessages(1000)
    peers = [FakePeer() for _ in range(50)]
    shared = b"s" * 900
    assert [write(unread, peer, shared) for peer in peers] == [None] * 50
    assert unread.total == 900
    assert write(unread, peers[3], b"a" * 60) is None
    assert write(unread, peers[7], b"b" * 50) is peers[3]
    unread.forget(peers[3])
    assert unread.total == 950


def test_messages_that_were_sent_meanwhile_do_not_count() -> None:
    unread = UnreadMessages(1000)
    reader, idle = FakePeer(), FakePeer()
    assert write(unread, reader, b"a" * 900) is None
    reader.unsent_bytes = 0
    assert write(unread, idle, b"b" * 900) is None
    assert unread.total == 900 and set(unread.queues) == {idle}


SIZES = st.lists(st.tuples(st.integers(0, 3), st.integers(1, 300), st.integers(0, 400)), max_size=60)


@given(SIZES)
def test_the_total_is_what_waits_and_nothing_is_kept_for_peers_that_ended(
    steps: list[tuple[int, int, int]],
) -> None:
    unread = UnreadMessages(1 << 30)
    peers = [FakePeer() for _ in range(4)]
    for number, size, sent_bytes in steps:
        write(unread, peers[number], bytes(size))
        peers[number].unsent_bytes = max(0, peers[number].unsent_bytes - sent_bytes)
        unread.drop_sent(peers[number]) if peers[number] in unread.queues else None
        waiting = {id(message): len(message) for queue in unread.queues.values() for message in queue}
        assert unread.total == sum(waiting.values())
        assert all(unread.queued_bytes[peer] >= peer.unsent_bytes for peer in peers)
    for peer in peers:
        unread.forget(peer)
    assert not unread.total and not unread.queues and not unread.reference_counts
