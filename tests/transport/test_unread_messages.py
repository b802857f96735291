"""Messages that wait for peers that do not read: what they take together, and who is closed."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
from collections import Counter
from dataclasses import dataclass

import uvloop
from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.limits import Address
from ivymux.transport.connection import Connection
from ivymux.transport.frames import Message, encode_frame
from ivymux.transport.listener import Listener, ListenerLimits
from ivymux.transport.unread_messages import MIN_VICTIM_BYTES, UnreadMessages

KIB = 1 << 10


@dataclass(eq=False)
class FakePeer:
    unsent_bytes: int = 0
    is_aborted: bool = False


def write(unread: UnreadMessages, peer: FakePeer, message: bytes) -> object:
    peer.unsent_bytes += len(message)
    return unread.add(peer, message)


def test_a_message_to_many_counts_once_and_who_holds_most_alone_is_closed() -> None:
    unread = UnreadMessages(1000 * KIB)
    peers = [FakePeer() for _ in range(50)]
    shared = b"s" * (900 * KIB)
    assert [write(unread, peer, shared) for peer in peers] == [None] * 50
    assert unread.total == 900 * KIB
    assert write(unread, peers[3], b"a" * (60 * KIB)) is None
    assert write(unread, peers[7], b"b" * (50 * KIB)) is peers[3]
    unread.forget(peers[3])
    assert unread.total == 950 * KIB


def test_an_aborted_connection_counts_until_it_is_forgotten() -> None:
    unread = UnreadMessages(1000 * KIB)
    peers = [FakePeer() for _ in range(20)]
    for peer in peers:
        for _ in range(10):
            if peer.is_aborted:
                break
            victim = write(unread, peer, bytes(100 * KIB))
            if isinstance(victim, FakePeer):
                victim.is_aborted = True
                victim.unsent_bytes = 0  # a closed transport may say so before it frees its buffers
    # The second makes the first the victim; each later one is closed with its first message.
    assert [len(unread.queues[peer]) for peer in peers] == [10, 2] + [1] * 18
    assert unread.total == 3000 * KIB
    for peer in peers:
        unread.forget(peer)
    assert not unread.total and not unread.queues


def test_a_connection_with_few_unread_bytes_is_kept_while_others_are_being_freed() -> None:
    unread = UnreadMessages(1000 * KIB)
    silent, reader = FakePeer(), FakePeer()
    assert write(unread, silent, bytes(1001 * KIB)) is silent
    silent.is_aborted = True
    assert write(unread, reader, bytes(MIN_VICTIM_BYTES - 1)) is None
    assert write(unread, reader, b"1") is reader


def test_messages_that_were_sent_meanwhile_do_not_count() -> None:
    unread = UnreadMessages(1000 * KIB)
    reader, idle = FakePeer(), FakePeer()
    assert write(unread, reader, bytes(900 * KIB)) is None
    reader.unsent_bytes = 0
    assert write(unread, idle, bytes(900 * KIB)) is None
    assert unread.total == 900 * KIB and set(unread.queues) == {idle}


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


CALLERS = 20
CALLS_EACH = 12
ANSWER_BYTES = 1 << 20
MAX_UNREAD_BYTES = 16 << 20


def connect_and_call(port: int) -> socket.socket:
    """Send calls whose answers are not read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
    caller.connect(("127.0.0.1", port))
    caller.sendall(encode_frame({"k": "read", "n": 1}) * CALLS_EACH)
    return caller


# Closed connections counted no more though their buffers were not freed yet.
def test_callers_of_one_moment_that_read_nothing_take_little_more_than_the_limit() -> None:
    answered: Counter[Connection] = Counter()

    def on_message(connection: Connection, message: Message) -> None:
        answered[connection] += 1
        connection.answer(message, content=bytes(ANSWER_BYTES))

    async def scenario() -> int:
        listener = Listener(on_message, limits=ListenerLimits(max_unread_bytes=MAX_UNREAD_BYTES))
        port = await listener.start(Address("127.0.0.1", 0))
        tracemalloc.start()
        callers = [connect_and_call(port) for _ in range(CALLERS)]
        async with asyncio.timeout(20):
            while len(answered) < CALLERS or any(
                answered[connection] < CALLS_EACH for connection in listener.connections
            ):
                await asyncio.sleep(0)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        for caller in callers:
            caller.close()
        listener.close()
        return peak_bytes

    assert uvloop.run(scenario()) < 1.5 * MAX_UNREAD_BYTES
