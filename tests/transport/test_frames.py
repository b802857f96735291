"""Netstrings of JSON: cut at each byte, too large, spoilt."""

from __future__ import annotations

import pytest

from ivymux.transport.frames import FrameError, Frames, Message, pack


def test_messages_come_whole_however_they_are_cut() -> None:
    sent: list[Message] = [{"k": "ping"}, {"k": "news", "i": [["a,b:c", 1.5, None]]}, {}]
    data = b"".join([pack(message) for message in sent])
    for cut in range(len(data) + 1):
        frames = Frames()
        assert frames.feed(data[:cut]) + frames.feed(data[cut:]) == sent
    frames = Frames()
    assert [m for byte in data for m in frames.feed(bytes([byte]))] == sent


@pytest.mark.parametrize(
    "data",
    [
        b"x",
        b":{},",
        b"99999999:",
        b"123456789",
        b"2:{}x",
        b"3:{}},",
        b"2:[],",
        b'4:"ab",',
        b"-2:{},",
        b"1 :1,",
    ],
)
def test_what_no_correct_peer_sends_ends_it(data: bytes) -> None:
    with pytest.raises(FrameError):
        Frames().feed(data + b" " * 12)


def test_a_message_over_the_bound_is_not_sent_and_not_held() -> None:
    with pytest.raises(FrameError):
        pack({"t": "x" * (9 << 20)})
    with pytest.raises(FrameError):
        Frames(most=100).feed(b"101:")
