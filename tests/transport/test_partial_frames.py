"""Which connections lose their partial messages when all hold too much."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ivymux.transport.partial_frames import MIN_COUNTED_BYTES, PartialFrames

MAX_BYTES = 10 * MIN_COUNTED_BYTES


@dataclass(eq=False)
class RecordedPeer:
    has_received_message: bool


def test_one_that_sent_no_message_yet_goes_before_one_that_holds_more() -> None:
    frames, known, stranger = PartialFrames(MAX_BYTES), RecordedPeer(True), RecordedPeer(False)
    assert frames.update(stranger, MIN_COUNTED_BYTES) is None
    assert frames.update(known, MAX_BYTES) is stranger
    frames.forget(stranger)
    assert (
        frames.update(known, MAX_BYTES) is None and frames.update(RecordedPeer(True), MAX_BYTES - 1) is known
    )


def test_all_stay_within_the_limit_once_victims_are_closed() -> None:
    chance = random.Random(79)
    frames, peers = PartialFrames(MAX_BYTES), [RecordedPeer(number % 2 == 0) for number in range(20)]
    for _ in range(2000):
        peer, size = chance.choice(peers), chance.randrange(MAX_BYTES // 2)
        while (victim := frames.update(peer, size)) is not None:
            frames.forget(victim)
            if victim is peer:
                break
        assert frames.total == sum(frames.sizes.values()) <= MAX_BYTES
