"""Codec for the simulator's protocol 'quartz-61d8': decodes events and settings, encodes actions."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from orchidhill import interface as i


class WireError(ValueError):
    """A malformed frame."""


class SettingsError(ValueError):
    """A settings key that is missing or malformed; the text names the key."""


@dataclass(slots=True)
class Configure:
    """Start a gateway instance with a settings text."""

    seed: int
    text: str


@dataclass(slots=True)
class Crash:
    """Discard a gateway instance."""


@dataclass(slots=True)
class Fault:
    """Report that handling an event raised an exception."""

    text: str


@dataclass(slots=True)
class Batch:
    """Events at one time, each with the number of its gateway instance."""

    now: float
    number: int
    records: list[tuple[int, i.Event | Configure | Crash]]


HEADER = struct.Struct("<IIdI")  # number of records, length of the rest, time in seconds, batch number
LENGTH_END = 8  # bytes of a batch header up to the end of its length field
REPLY = struct.Struct("<III")  # length of the rest, number of records, batch number
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_CONFIGURE = struct.Struct("<QI")
_MEMBERS = struct.Struct("<BQI")
_ENTRY = struct.Struct("<HdBBHfI")
_REQUEST = struct.Struct("<QHIQdfffB")
_UNDER_WAY = struct.Struct("<QHId")
_FINISHED = struct.Struct("<QHBIBdHHB")
_ID = struct.Struct("<Q")
_PROBED = struct.Struct("<IBdB")
_PEER_SAYS = struct.Struct("<HH")
_COUNTED = struct.Struct("<BQfd")
_SEND = struct.Struct("<BQId")
_REFUSE = struct.Struct("<BQd")
_CANCEL = struct.Struct("<BQH")
_SET_TIMER = struct.Struct("<BdQ")
_CODE_ID = struct.Struct("<BQ")
_CODE_U32 = struct.Struct("<BI")
_CODE_FLAG = struct.Struct("<BB")
_COUNT = struct.Struct("<BQdf")
_TELL = struct.Struct("<BIH")
_TEXT = struct.Struct("<BH")
_FLAG_RETRY = 2
_FLAG_WRITE = 4
_ALL_PEERS = 0xFFFFFFFF
_MAX_TEXT_BYTES = 0xFFFF

_OUTCOMES = {int(o): o for o in i.Outcome}
_STATES = {int(s): s for s in i.State}
_LISTINGS = {int(k): k for k in i.Listing}
_Decoded = tuple[i.Event | Configure | Crash, int]  # and the offset after its record


def _decode_outcome(code: int) -> i.Outcome:
    try:
        return _OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _take_bytes(buf: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(buf):
        raise WireError("a field runs past the end of the frame")
    return buf[offset : offset + size]


def _decode_configure(buf: bytes, offset: int) -> _Decoded:
    seed, size = _CONFIGURE.unpack_from(buf, offset)
    offset += _CONFIGURE.size
    return Configure(seed, _take_bytes(buf, offset, size).decode()), offset + size


def _decode_members(buf: bytes, offset: int) -> _Decoded:
    listing, version, count = _MEMBERS.unpack_from(buf, offset)
    offset += _MEMBERS.size
    if listing not in _LISTINGS:
        raise WireError(f"unknown list form {listing}")
    body = _take_bytes(buf, offset, count * _ENTRY.size)
    entries = []
    for zone, started, state, kind, cell, weight, backend in _ENTRY.iter_unpack(body):
        if state not in _STATES:
            raise WireError(f"unknown backend state {state}")
        entries.append(i.Entry(backend, zone, started, _STATES[state], kind, cell, weight))
    return i.Members(_LISTINGS[listing], version, tuple(entries)), offset + len(body)


def _decode_request(buf: bytes, offset: int) -> _Decoded:
    request, cls, plan, customer, left, units, width, first, flags = _REQUEST.unpack_from(buf, offset)
    event = i.Request(
        request, cls, plan, customer, left, units, int(width), int(first),
        bool(flags & _FLAG_RETRY), bool(flags & _FLAG_WRITE),
    )  # fmt: skip
    return event, offset + _REQUEST.size


def _decode_under_way(buf: bytes, offset: int) -> _Decoded:
    return i.UnderWay(*_UNDER_WAY.unpack_from(buf, offset)), offset + _UNDER_WAY.size


def _decode_report(buf: bytes, offset: int, count: int) -> tuple[tuple[float, ...], int]:
    body = _take_bytes(buf, offset, 4 * count)
    return struct.unpack(f"<{count}f", body), offset + len(body)


def _decode_finished(buf: bytes, offset: int) -> _Decoded:
    request, charged, closed, backend, code, spent, metered, attempt, count = _FINISHED.unpack_from(
        buf, offset
    )
    report, offset = _decode_report(buf, offset + _FINISHED.size, count)
    event = i.Finished(
        request, attempt, backend, _decode_outcome(code), bool(closed), spent, charged, metered, report
    )
    return event, offset


def _decode_left(buf: bytes, offset: int) -> _Decoded:
    return i.Left(_ID.unpack_from(buf, offset)[0]), offset + _ID.size


def _decode_fired(buf: bytes, offset: int) -> _Decoded:
    return i.Fired(_ID.unpack_from(buf, offset)[0]), offset + _ID.size


def _decode_probed(buf: bytes, offset: int) -> _Decoded:
    backend, code, spent, count = _PROBED.unpack_from(buf, offset)
    report, offset = _decode_report(buf, offset + _PROBED.size, count)
    return i.Probed(backend, _decode_outcome(code), spent, report), offset


def _decode_peer_says(buf: bytes, offset: int) -> _Decoded:
    source, size = _PEER_SAYS.unpack_from(buf, offset)
    offset += _PEER_SAYS.size
    return i.PeerSays(source, _take_bytes(buf, offset, size)), offset + size


def _decode_crash(buf: bytes, offset: int) -> _Decoded:
    return Crash(), offset


def _decode_counted(buf: bytes, offset: int) -> _Decoded:
    code, name, total, spent = _COUNTED.unpack_from(buf, offset)
    return i.Counted(name, _decode_outcome(code), total, spent), offset + _COUNTED.size


_AT_CODE = 12  # of the record that names the instance of the records after it
_DECODERS: dict[int, Callable[[bytes, int], _Decoded]] = {
    1: _decode_configure, 2: _decode_members, 3: _decode_request, 4: _decode_under_way,
    5: _decode_finished, 6: _decode_left, 7: _decode_fired, 8: _decode_probed, 9: _decode_peer_says,
    10: _decode_crash, 11: _decode_counted,
}  # fmt: skip


def decode_batch(head: bytes, body: bytes) -> Batch:
    """Decode a batch from its header and its records.  Raises WireError."""
    count, length, now, number = HEADER.unpack(head)
    if length != len(body) + HEADER.size - LENGTH_END:
        raise WireError("the batch's length does not match its body")
    batch = Batch(now, number, [])
    offset, instance = 0, -1
    try:
        for _ in range(count):
            code = body[offset]
            offset += 1
            if code == _AT_CODE:
                (instance,) = _U32.unpack_from(body, offset)
                offset += _U32.size
                continue
            decoder = _DECODERS.get(code)
            if decoder is None:
                raise WireError(f"unknown record code {code}")
            if instance < 0:
                raise WireError("a record precedes the first AT record")
            event, offset = decoder(body, offset)
            batch.records.append((instance, event))
    except (struct.error, IndexError):
        raise WireError("the frame is truncated") from None
    except UnicodeDecodeError:
        raise WireError("the settings are not valid UTF-8") from None
    if offset != len(body):
        raise WireError("bytes follow the last record")
    return batch


def encode_action(action: i.Action | Fault) -> bytes:
    """Encode an action as a record."""
    match action:
        case i.Send():
            return _SEND.pack(1, action.request, action.backend, action.timeout)
        case i.Count():
            return _COUNT.pack(13, action.name, action.expires, action.amount)
        case i.SetTimer():
            return _SET_TIMER.pack(5, action.at, action.token)
        case i.Refuse():
            return _REFUSE.pack(2, action.request, action.retry_after)
        case i.Fail():
            return _CODE_ID.pack(3, action.request)
        case i.Cancel():
            return _CANCEL.pack(4, action.request, action.attempt)
        case i.Probe():
            return _CODE_U32.pack(6, action.backend)
        case i.CloseIdle():
            return _CODE_U32.pack(7, action.backend)
        case i.Tell():
            peer = _ALL_PEERS if action.peer is None else action.peer
            return _TELL.pack(8, peer, len(action.data)) + action.data
        case i.Log():
            return _encode_text(9, action.text)
        case Fault():
            return _encode_text(10, action.text)
        case i.Watch():
            return _CODE_FLAG.pack(11, action.on)
        case i.Pull():
            return b"\x0c"
    raise WireError(f"not an action: {action!r}")


def _encode_text(code: int, text: str) -> bytes:
    data = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(data)) + data


def encode_reply(number: int, actions: Iterable[tuple[int, list[i.Action | Fault]]]) -> bytes:
    """Encode the reply to a batch: for each instance its number, then its actions."""
    parts: list[bytes] = []
    for instance, instance_actions in actions:
        if instance_actions:
            parts.append(_CODE_U32.pack(14, instance))
            parts.extend(map(encode_action, instance_actions))
    body = b"".join(parts)
    return REPLY.pack(len(body) + REPLY.size - _U32.size, len(parts), number) + body


class _Reader:
    """Reads typed values from lines of key=value.  Raises SettingsError, which names the key."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self.values[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"missing setting {key}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        value = self.text(key, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not abs(number) < float("inf"):
            raise SettingsError(f"setting {key} is not a number: {value}")
        return number

    def integer(self, key: str, default: int | None = None) -> int:
        number = self.number(key, default)
        if number != int(number):
            raise SettingsError(f"setting {key} is not a whole number: {self.values[key]}")
        return int(number)

    def flag(self, key: str, default: bool | None = None) -> bool:
        value = self.text(key, None if default is None else str(default).lower())
        if value not in ("true", "false"):
            raise SettingsError(f"setting {key} is neither true nor false: {value}")
        return value == "true"

    def text_list(self, key: str) -> tuple[str, ...]:
        return tuple(part for part in self.values.get(key, "").split(",") if part)

    def effect(self, key: str) -> i.Effect:
        try:
            return i.Effect(self.text(key))
        except ValueError:
            raise SettingsError(f"setting {key} is not an effect: {self.text(key)}") from None

    def scope(self, key: str) -> i.Scope:
        try:
            return i.Scope(self.text(key, "all"))
        except ValueError:
            raise SettingsError(f"setting {key} is not a scope: {self.text(key)}") from None


def _parse_class(reader: _Reader, prefix: str) -> i.RequestClass:
    return i.RequestClass(
        name=reader.text(prefix + "name"),
        aim=reader.number(prefix + "goal_time_s"),
        deadline=reader.number(prefix + "deadline_s"),
        effect=reader.effect(prefix + "effect"),
        scope=reader.scope(prefix + "dedup_scope"),
        memory=reader.number(prefix + "memory_span_s", 0.0),
        worth=reader.number(prefix + "worth"),
        late_worth=reader.number(prefix + "late_value", 0.0),
        stream=reader.flag(prefix + "stream", False),
    )


def _parse_plan(reader: _Reader, prefix: str) -> i.Plan:
    return i.Plan(
        name=reader.text(prefix + "name"),
        rate=reader.number(prefix + "quota_rate", 0.0),
        burst=reader.number(prefix + "peak_units", 0.0),
        parallel=reader.integer(prefix + "parallel", 0),
        price=reader.number(prefix + "pays"),
        over_cost=reader.number(prefix + "over_cost", 0.0),
        over_worth=reader.number(prefix + "beyond_earns", 0.0),
        ceiling_rate=reader.number(prefix + "never_over_rate", 0.0),
        ceiling_burst=reader.number(prefix + "hard_burst", 0.0),
        ceiling_slack=reader.number(prefix + "ceiling_slack", 0.0),
    )


def parse_settings(text: str) -> i.Settings:
    """Parse the settings message; unknown keys are ignored.  Raises SettingsError."""
    reader = _Reader(text)
    rules = i.Rules(
        answer_slack=reader.number("rules.answer_slack_s"),
        drain_grace=reader.number("rules.drain_grace_s"),
        cold_share=reader.number("rules.cold_share"),
        warm_up=reader.number("rules.warm_up_s"),
        fall_multiple=reader.number("rules.fall_multiple"),
        fall_time=reader.number("rules.fall_s"),
        ask_within=reader.number("rules.ask_within_s", 0.0),
    )
    limits = i.Limits(
        max_attempts=reader.integer("caps.max_attempts"),
        second_copies=reader.flag("caps.second_copies"),
        cancel=reader.flag("caps.cancel", False),
        probes=reader.flag("caps.may_probe", False),
        retry_after=reader.flag("caps.retry_after", False),
        max_retry_after=reader.number("caps.max_retry_after_s", 0.0),
        connect_timeout=reader.number("caps.connect_timeout_s"),
    )
    prices = {
        k.removeprefix("penalties."): reader.number(k) for k in reader.values if k.startswith("penalties.")
    }
    has_counter = reader.flag("extra.has_counter", False)
    return i.Settings(
        me=reader.integer("me"),
        peers=reader.integer("peers_total"),
        zone=reader.integer("az"),
        zones=reader.text_list("zones"),
        period=reader.number("period_s"),
        classes=tuple(_parse_class(reader, f"classes.{n}.") for n in range(reader.integer("classes.count"))),
        plans=tuple(_parse_plan(reader, f"tariffs.{n}.") for n in range(reader.integer("tariffs.count", 0))),
        rules=rules,
        limits=limits,
        has_counter=has_counter,
        counter_price=reader.number("extra.counter_price", 0.0),
        counter_timeout=reader.number("extra.counter_timeout_s") if has_counter else 0.0,
        settles=reader.flag("extra.settles", False),
        membership_push=reader.text("membership_mode", "push") == "push",
        weight_source=reader.text("weight_source", "silent"),
        report_how=reader.text("report.how", "silent"),
        report_columns=reader.text_list("report.columns"),
        prices=prices,
    )
