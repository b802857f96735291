"""Tests of the simulator's codec: the protocol's published examples, malformed frames and settings."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from orchidhill import benchlink, wire
from orchidhill import interface as i

from .helpers import settings_text

CLOCK = struct.unpack("<d", bytes.fromhex("508d976e12d32040"))[0]


def decode_hex(hex_text: str) -> wire.Batch:
    data = bytes.fromhex(hex_text)
    return wire.decode_batch(data[: wire.HEADER.size], data[wire.HEADER.size :])


def decode_record(record: str) -> i.Event | wire.Configure | wire.Crash:
    """Decode one record, in hexadecimal, of instance 3."""
    body = bytes.fromhex("0c03000000" + record)
    head = wire.HEADER.pack(2, len(body) + 12, 1.0, 1)
    (decoded,) = wire.decode_batch(head, body).records
    assert decoded[0] == 3
    return decoded[1]


def test_empty_batch_and_reply() -> None:
    batch = decode_hex("000000000c000000508d976e12d3204001000000")
    assert (batch.now, batch.number, batch.records) == (CLOCK, 1, [])
    assert wire.encode_reply(1, []).hex() == "080000000000000001000000"


def test_published_batch_of_two_instances() -> None:
    batch = decode_hex(
        "0500000054000000508d976e12d320400c000000" "0c03000000"
        "03c4913a5db2930800000000000000640ad2557c3bf091b81e85eb51b8ce3f00000040000040400000803f01"
        "074d000000000000000c0500000006192b6f0ea8d80100"
    )  # fmt: skip
    (first_instance, request), (_, fired), (last_instance, left) = batch.records
    assert (first_instance, last_instance, fired) == (3, 5, i.Fired(77))
    assert isinstance(request, i.Request)
    assert (request.request, request.units, request.width, request.first) == (0x893B25D3A91C4, 2.0, 3, 1)
    assert request.left == 0.24 and not request.is_retry
    assert left == i.Left(0x1D8A80E6F2B19)


def test_published_reply() -> None:
    sent: list[i.Action | wire.Fault] = [
        i.Send(0x893B25D3A91C4, 0x03124A07, 0.08),
        i.SetTimer(struct.unpack("<d", bytes.fromhex("508d976e12d32140"))[0], 77),
        i.Log("two servers unknown"),
    ]
    assert wire.encode_reply(12, [(3, sent), (4, [])]).hex() == (
        "49000000040000000c0000000e0300000001c4913a5db2930800074a12037b14ae47e17ab43f"
        "05508d976e12d321404d000000000000000913007477"
        "6f207365727665727320756e6b6e6f776e"
    )


@pytest.mark.parametrize(
    ("record", "event"),
    [
        (
            "04c4913a5db29308000000074a12038b6ce7fba9f1823f",
            i.UnderWay(0x893B25D3A91C4, 0, 0x03124A07, 0.00925),
        ),
        ("06192b6f0ea8d80100", i.Left(0x1D8A80E6F2B19)),
        ("074d00000000000000", i.Fired(77)),
        ("09020004006869 2037", i.PeerSays(2, b"hi 7")),
        ("0a", wire.Crash()),
    ],
)
def test_published_records(record: str, event: object) -> None:
    assert decode_record(record) == event


def test_published_finished_probed_counted_and_members() -> None:
    finished = decode_record("05c4913a5db293080003 0001074a1203008b6ce7fba9f1923f5600000000")
    assert isinstance(finished, i.Finished)
    assert (finished.charged, finished.closed, finished.outcome) == (3, True, i.Outcome.OK)
    assert (finished.metered, finished.attempt, finished.report) == (0x56, 0, ())
    probed = decode_record("08f211902c00c7bab88d06f0563f030000404052b81e3f0000e040")
    assert isinstance(probed, i.Probed)
    assert probed.report == pytest.approx((3.0, 0.62, 7.0))
    counted = decode_record("0b0090f68900000000000000184222fdf675e09c613f")
    assert isinstance(counted, i.Counted) and (counted.name, counted.total) == (0x89F690, 38.0)
    members = decode_record(
        "0201290000000000000002000000" "000000000000000000000100000000 00803f074a1203"
        "00006666666666661840010000000000c03ff211902c"
    )  # fmt: skip
    assert isinstance(members, i.Members) and members.listing is i.Listing.CACHED and members.version == 41
    assert members.entries[0] == i.Entry(0x03124A07, 0, 0.0, i.State.READY, 0, 0, 1.0)
    assert (members.entries[1].started, members.entries[1].weight) == (6.1, 1.5)


@pytest.mark.parametrize(
    ("action", "hex_text"),
    [
        (i.Cancel(0x893B25D3A91C4, 0), "04c4913a5db29308000000"),
        (i.Refuse(0x1D8A80E6F2B19, 0.25), "02192b6f0ea8d80100000000000000d03f"),
        (i.Fail(5), "030500000000000000"),
        (i.Probe(0x2C9011F2), "06f211902c"),
        (i.CloseIdle(0x2C9011F2), "07f211902c"),
        (i.Tell(None, b"hi 7"), "08ffffffff040068692037"),
        (
            i.Count(0x89F690, 2.5, 4.0),
            "0d90f6890000000000000000000000044000008040"[:18] + "00000000000010400000 2040",
        ),
        (i.Watch(True), "0b01"),
        (i.Pull(), "0c"),
        (wire.Fault("index out of range"), "0a1200696e646578206f7574206f662072616e6765"),
    ],
)
def test_each_action_is_encoded(action: i.Action | wire.Fault, hex_text: str) -> None:
    assert wire.encode_action(action) == bytes.fromhex(hex_text)


@pytest.mark.parametrize(
    "hex_text",
    [
        "010000000d000000508d976e12d32040010000000a",  # a record before any AT
        "0200000012000000508d976e12d32040010000000c0300000063",  # an unknown code
        "0200000014000000508d976e12d32040010000000c03000000070101",  # truncated
        "010000000c000000508d976e12d3204001000000",  # fewer records than announced
    ],
)
def test_malformed_frames_end_the_adapter_with_one_error_line(hex_text: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "orchidhill.benchlink"],
        input=bytes.fromhex(hex_text),
        capture_output=True,
        check=False,
    )
    assert run.returncode == 1 and run.stdout == b""
    assert run.stderr.startswith(b"benchlink: ") and run.stderr.count(b"\n") == 1


def test_end_of_input_is_clean_and_inside_a_frame_is_not() -> None:
    assert benchlink.read_batch(io.BytesIO(b"")) is None
    with pytest.raises(wire.WireError, match="header"):
        benchlink.read_batch(io.BytesIO(b"\0" * 7))


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"me": "x"}, "me"),
        ({"caps__second_copies": "perhaps"}, "caps.second_copies"),
        ({"classes__1__effect": "odd"}, "classes.1.effect"),
        ({"tariffs__0__quota_rate": "nan"}, "tariffs.0.quota_rate"),
    ],
)
def test_malformed_settings_name_the_key(changes: dict[str, str], key: str) -> None:
    with pytest.raises(wire.SettingsError, match=key):
        wire.parse_settings(settings_text(**changes))


def test_missing_settings_name_the_key_and_unknown_ones_are_skipped() -> None:
    with pytest.raises(wire.SettingsError, match=r"rules\.fall_s"):
        wire.parse_settings(settings_text().replace("rules.fall_s", "rules.other"))
    assert wire.parse_settings(settings_text() + "\nnew.key=7\nnonsense").plans[2].parallel == 2


def test_an_exception_is_reported_as_a_fault() -> None:
    reply = benchlink.answer({}, wire.Batch(1.0, 9, [(3, wire.Configure(1, "me=0"))]))
    assert b"SettingsError: missing setting" in reply and reply[17] == 10
