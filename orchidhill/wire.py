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
    """Events of one moment, each with the number of its gateway instance."""

    now: float
    number: int
    records: list[tuple[int, i.Event | Configure | Crash]]


HEADER = struct.Struct("<IIdI")
LENGTH_END = 8  # bytes of a batch header up to the end of its length field
REPLY = struct.Struct("<III")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_CONFIGURE = struct.Struct("<QI")
_VIEW = struct.Struct("<BQI")
_ENTRY = struct.Struct("<HdBBHfI")
_DEMAND = struct.Struct("<QHIQdfffB")
_UNDER_WAY = struct.Struct("<QHId")
_FINISHED = struct.Struct("<QHBIBdHHB")
_ID = struct.Struct("<Q")
_CHECKED = struct.Struct("<IBdB")
_SAYS = struct.Struct("<HH")
_SUM = struct.Struct("<BQfd")
_ASSIGN = struct.Struct("<BQId")
_BOUNCE = struct.Struct("<BQd")
_CALL_OFF = struct.Struct("<BQH")
_TIMER = struct.Struct("<BdQ")
_CODE_ID = struct.Struct("<BQ")
_CODE_U32 = struct.Struct("<BI")
_CODE_FLAG = struct.Struct("<BB")
_TALLY = struct.Struct("<BQdf")
_ANNOUNCE = struct.Struct("<BIH")
_TEXT = struct.Struct("<BH")
_MARK_RETRY = 2
_MARK_WRITE = 4
_ALL_PEERS = 0xFFFFFFFF
_TEXT_LIMIT = 0xFFFF

_OUTCOMES = {int(o): o for o in i.Outcome}
_STATES = {int(s): s for s in i.State}
_LISTINGS = {int(k): k for k in i.Listing}
_Got = tuple[i.Event | Configure | Crash, int]


def _outcome(code: int) -> i.Outcome:
    try:
        return _OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _bytes(buf: bytes, at: int, size: int) -> bytes:
    if at + size > len(buf):
        raise WireError("a field runs past the end of the frame")
    return buf[at : at + size]


def _configure(buf: bytes, at: int) -> _Got:
    seed, size = _CONFIGURE.unpack_from(buf, at)
    at += _CONFIGURE.size
    return Configure(seed, _bytes(buf, at, size).decode()), at + size


def _view(buf: bytes, at: int) -> _Got:
    form, version, count = _VIEW.unpack_from(buf, at)
    at += _VIEW.size
    if form not in _LISTINGS:
        raise WireError(f"unknown list form {form}")
    body = _bytes(buf, at, count * _ENTRY.size)
    entries = []
    for zone, started, state, kind, cell, weight, backend in _ENTRY.iter_unpack(body):
        if state not in _STATES:
            raise WireError(f"unknown backend state {state}")
        entries.append(i.Entry(backend, zone, started, _STATES[state], kind, cell, weight))
    return i.Members(_LISTINGS[form], version, tuple(entries)), at + len(body)


def _demand(buf: bytes, at: int) -> _Got:
    rid, cls, plan, customer, left, units, width, first, marks = _DEMAND.unpack_from(buf, at)
    event = i.Request(
        rid, cls, plan, customer, left, units, int(width), int(first),
        bool(marks & _MARK_RETRY), bool(marks & _MARK_WRITE),
    )  # fmt: skip
    return event, at + _DEMAND.size


def _under_way(buf: bytes, at: int) -> _Got:
    return i.UnderWay(*_UNDER_WAY.unpack_from(buf, at)), at + _UNDER_WAY.size


def _report(buf: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    body = _bytes(buf, at, 4 * count)
    return struct.unpack(f"<{count}f", body), at + len(body)


def _finished(buf: bytes, at: int) -> _Got:
    rid, charged, closed, backend, how, spent, metered, attempt, count = _FINISHED.unpack_from(buf, at)
    report, at = _report(buf, at + _FINISHED.size, count)
    event = i.Finished(rid, attempt, backend, _outcome(how), bool(closed), spent, charged, metered, report)
    return event, at


def _left(buf: bytes, at: int) -> _Got:
    return i.Left(_ID.unpack_from(buf, at)[0]), at + _ID.size


def _fired(buf: bytes, at: int) -> _Got:
    return i.Fired(_ID.unpack_from(buf, at)[0]), at + _ID.size


def _checked(buf: bytes, at: int) -> _Got:
    backend, how, spent, count = _CHECKED.unpack_from(buf, at)
    report, at = _report(buf, at + _CHECKED.size, count)
    return i.Probed(backend, _outcome(how), spent, report), at


def _says(buf: bytes, at: int) -> _Got:
    source, size = _SAYS.unpack_from(buf, at)
    at += _SAYS.size
    return i.PeerSays(source, _bytes(buf, at, size)), at + size


def _crash(buf: bytes, at: int) -> _Got:
    return Crash(), at


def _sum(buf: bytes, at: int) -> _Got:
    how, name, total, spent = _SUM.unpack_from(buf, at)
    return i.Counted(name, _outcome(how), total, spent), at + _SUM.size


_AT = 12
_DECODERS: dict[int, Callable[[bytes, int], _Got]] = {
    1: _configure, 2: _view, 3: _demand, 4: _under_way, 5: _finished, 6: _left, 7: _fired,
    8: _checked, 9: _says, 10: _crash, 11: _sum,
}  # fmt: skip


def decode_batch(head: bytes, body: bytes) -> Batch:
    """Decode a batch from its header and its records.  Raises WireError."""
    count, length, now, number = HEADER.unpack(head)
    if length != len(body) + HEADER.size - LENGTH_END:
        raise WireError("the batch's length does not match its body")
    batch = Batch(now, number, [])
    at, instance = 0, -1
    try:
        for _ in range(count):
            code = body[at]
            at += 1
            if code == _AT:
                (instance,) = _U32.unpack_from(body, at)
                at += _U32.size
                continue
            decoder = _DECODERS.get(code)
            if decoder is None:
                raise WireError(f"unknown record code {code}")
            if instance < 0:
                raise WireError("a record precedes the first AT record")
            event, at = decoder(body, at)
            batch.records.append((instance, event))
    except (struct.error, IndexError):
        raise WireError("the frame is truncated") from None
    except UnicodeDecodeError:
        raise WireError("the settings are not text") from None
    if at != len(body):
        raise WireError("bytes follow the last record")
    return batch


def encode_action(action: i.Action | Fault) -> bytes:
    """Encode an action as a record."""
    match action:
        case i.Send():
            return _ASSIGN.pack(1, action.request, action.backend, action.timeout)
        case i.Count():
            return _TALLY.pack(13, action.name, action.expires, action.amount)
        case i.SetTimer():
            return _TIMER.pack(5, action.at, action.token)
        case i.Refuse():
            return _BOUNCE.pack(2, action.request, action.retry_after)
        case i.Fail():
            return _CODE_ID.pack(3, action.request)
        case i.Cancel():
            return _CALL_OFF.pack(4, action.request, action.attempt)
        case i.Probe():
            return _CODE_U32.pack(6, action.backend)
        case i.CloseIdle():
            return _CODE_U32.pack(7, action.backend)
        case i.Tell():
            peer = _ALL_PEERS if action.peer is None else action.peer
            return _ANNOUNCE.pack(8, peer, len(action.data)) + action.data
        case i.Log():
            return _text(9, action.text)
        case Fault():
            return _text(10, action.text)
        case i.Watch():
            return _CODE_FLAG.pack(11, action.on)
        case i.Pull():
            return b"\x0c"
    raise WireError(f"not an action: {action!r}")


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:_TEXT_LIMIT]
    return _TEXT.pack(code, len(data)) + data


def encode_reply(number: int, actions: Iterable[tuple[int, list[i.Action | Fault]]]) -> bytes:
    """Encode the reply to a batch: for each instance a BY record, then its actions."""
    parts: list[bytes] = []
    for instance, listed in actions:
        if listed:
            parts.append(_CODE_U32.pack(14, instance))
            parts.extend(map(encode_action, listed))
    body = b"".join(parts)
    return REPLY.pack(len(body) + REPLY.size - _U32.size, len(parts), number) + body


class _Reader:
    """Typed look-ups in lines of key=value.  Raises SettingsError that names the key."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            key, sep, value = line.partition("=")
            if sep:
                self.values[key.strip()] = value.strip()

    def text(self, key: str, absent: str | None = None) -> str:
        value = self.values.get(key, absent)
        if value is None:
            raise SettingsError(f"missing setting {key}")
        return value

    def number(self, key: str, absent: float | None = None) -> float:
        value = self.text(key, None if absent is None else repr(absent))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not abs(number) < float("inf"):
            raise SettingsError(f"setting {key} is not a number: {value}")
        return number

    def whole(self, key: str, absent: int | None = None) -> int:
        number = self.number(key, absent)
        if number != int(number):
            raise SettingsError(f"setting {key} is not a whole number: {self.values[key]}")
        return int(number)

    def flag(self, key: str, absent: bool | None = None) -> bool:
        value = self.text(key, None if absent is None else str(absent).lower())
        if value not in ("true", "false"):
            raise SettingsError(f"setting {key} is neither true nor false: {value}")
        return value == "true"

    def listed(self, key: str) -> tuple[str, ...]:
        return tuple(part for part in self.values.get(key, "").split(",") if part)

    def effect(self, key: str) -> i.Effect:
        try:
            return i.Effect(self.text(key))
        except ValueError:
            raise SettingsError(f"setting {key} is no effect: {self.text(key)}") from None

    def scope(self, key: str) -> i.Scope:
        try:
            return i.Scope(self.text(key, "all"))
        except ValueError:
            raise SettingsError(f"setting {key} is no scope: {self.text(key)}") from None


def _class(r: _Reader, p: str) -> i.RequestClass:
    return i.RequestClass(
        name=r.text(p + "name"),
        aim=r.number(p + "goal_time_s"),
        deadline=r.number(p + "deadline_s"),
        effect=r.effect(p + "effect"),
        scope=r.scope(p + "dedup_scope"),
        memory=r.number(p + "memory_span_s", 0.0),
        worth=r.number(p + "worth"),
        late_worth=r.number(p + "late_value", 0.0),
        stream=r.flag(p + "stream", False),
    )


def _plan(r: _Reader, p: str) -> i.Plan:
    return i.Plan(
        name=r.text(p + "name"),
        rate=r.number(p + "quota_rate", 0.0),
        burst=r.number(p + "peak_units", 0.0),
        parallel=r.whole(p + "parallel", 0),
        price=r.number(p + "pays"),
        over_cost=r.number(p + "over_cost", 0.0),
        over_worth=r.number(p + "beyond_earns", 0.0),
        ceiling_rate=r.number(p + "never_over_rate", 0.0),
        ceiling_burst=r.number(p + "hard_burst", 0.0),
        ceiling_slack=r.number(p + "ceiling_slack", 0.0),
    )


def parse_settings(text: str) -> i.Settings:
    """Parse the settings message; unknown keys are ignored.  Raises SettingsError."""
    r = _Reader(text)
    rules = i.Rules(
        answer_slack=r.number("rules.answer_slack_s"),
        drain_grace=r.number("rules.drain_grace_s"),
        cold_share=r.number("rules.cold_share"),
        warm_up=r.number("rules.warm_up_s"),
        fall_multiple=r.number("rules.fall_multiple"),
        fall_time=r.number("rules.fall_s"),
        ask_within=r.number("rules.ask_within_s", 0.0),
    )
    limits = i.Limits(
        max_attempts=r.whole("caps.max_attempts"),
        second_copies=r.flag("caps.second_copies"),
        cancel=r.flag("caps.cancel", False),
        probes=r.flag("caps.may_probe", False),
        retry_after=r.flag("caps.retry_after", False),
        max_retry_after=r.number("caps.max_retry_after_s", 0.0),
        connect_timeout=r.number("caps.connect_timeout_s"),
    )
    prices = {k.removeprefix("penalties."): r.number(k) for k in r.values if k.startswith("penalties.")}
    has_counter = r.flag("extra.has_counter", False)
    return i.Settings(
        me=r.whole("me"),
        peers=r.whole("peers_total"),
        zone=r.whole("az"),
        zones=r.listed("zones"),
        period=r.number("period_s"),
        classes=tuple(_class(r, f"classes.{n}.") for n in range(r.whole("classes.count"))),
        plans=tuple(_plan(r, f"tariffs.{n}.") for n in range(r.whole("tariffs.count", 0))),
        rules=rules,
        limits=limits,
        has_counter=has_counter,
        counter_price=r.number("extra.counter_price", 0.0),
        counter_timeout=r.number("extra.counter_timeout_s") if has_counter else 0.0,
        settles=r.flag("extra.settles", False),
        membership_push=r.text("membership_mode", "push") == "push",
        weight_source=r.text("weight_source", "silent"),
        report_how=r.text("report.how", "silent"),
        report_columns=r.listed("report.columns"),
        prices=prices,
    )
