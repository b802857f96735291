"""Netstrings of JSON: input cut at each byte, oversized and malformed frames."""

from __future__ import annotations

import pytest

from ivymux.json_values import MAX_VALUES
from ivymux.transport.frames import FrameDecoder, FrameError, Message, encode_frame


def test_messages_are_decoded_wherever_the_input_is_cut() -> None:
    sent: list[Message] = [{"k": "ping"}, {"k": "news", "i": [["a,b:c", 1.5, None]]}, {}]
    data = b"".join([encode_frame(message) for message in sent])
    for cut in range(len(data) + 1):
        decoder = FrameDecoder()
        assert decoder.feed(data[:cut]) + decoder.feed(data[cut:]) == sent
    decoder = FrameDecoder()
    assert [m for byte in data for m in decoder.feed(bytes([byte]))] == sent


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
def test_malformed_input_raises_a_frame_error(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameDecoder().feed(data + b" " * 12)


def test_an_oversized_message_is_neither_encoded_nor_buffered() -> None:
    with pytest.raises(FrameError):
        encode_frame({"t": "x" * (9 << 20)})
    with pytest.raises(FrameError):
        FrameDecoder(max_frame_bytes=100).feed(b"101:")


def encoded(text: bytes) -> bytes:
    return b"%d:%s," % (len(text), text)


# A list of empty lists takes some 30 times its length once it is decoded.
def test_a_message_with_too_many_values_is_refused_before_it_is_decoded() -> None:
    many = b"[" + b"[]," * MAX_VALUES + b"[]]"
    with pytest.raises(FrameError, match="values"):
        FrameDecoder().feed(encoded(b'{"k":%s}' % many))
    text = many.decode()
    assert FrameDecoder().feed(encode_frame({"k": "text", "t": text})) == [{"k": "text", "t": text}]
