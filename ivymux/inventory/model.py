"""Workers, what is found wrong with a list of them, and the rules that each field must keep."""

from __future__ import annotations

import ipaddress
import re
import unicodedata
from collections.abc import Callable
from typing import Literal, TypeVar

import msgspec

State = Literal["ready", "draining", "out"]
STATES: tuple[State, ...] = ("ready", "draining", "out")
MAX_WORKERS = 20_000
MAX_FINDINGS = 200
FIELDS = ("name", "address", "port", "room", "bay", "kind", "weight", "state")
NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?", re.ASCII)
LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_ .-]{0,62}[A-Za-z0-9])?", re.ASCII)
HOST = re.compile(r"(?=.{1,253}$)([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*")
WHOLE = re.compile(r"\d{1,10}", re.ASCII)
DECIMAL = re.compile(r"\d{1,6}(\.\d{1,6})?", re.ASCII)
EXPONENT = re.compile(r"[+-]?\d+([.,]\d+)?[eE][+-]?\d+", re.ASCII)
DATE = re.compile(
    r"\d{1,4}[-/.]\d{1,2}[-/.]\d{1,4}|\d{1,2}[-. ](jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec)[a-z]*"
    r"|(jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec)[a-z]*[-. ]\d{1,4}",
    re.ASCII | re.I,
)
ERRORS = frozenset(
    ("#ref!", "#n/a", "#name?", "#value!", "#div/0!", "#null!", "#num!", "#spill!", "########")
)
LEAST_WEIGHT, MAX_WEIGHT = 0.001, 1000.0
MAX_BAY = 1 << 31


T = TypeVar("T")


class Finding(msgspec.Struct, frozen=True):
    """One thing wrong, with its place; line and column count from 1, 0 where there is none."""

    level: Literal["error", "warning"]
    file: str
    line: int
    column: int
    text: str

    def __str__(self) -> str:
        place = f":{self.line}:{self.column}" if self.column else f":{self.line}" if self.line else ""
        return f"{self.file}{place}: {self.level}: {self.text}"


class InventoryError(ValueError):
    """A list that can't be taken; `findings` say why, errors first, in the order of the lines."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = sorted(findings, key=lambda f: (f.level != "error", f.line, f.column))
        super().__init__(str(self.findings[0]) if self.findings else "the inventory can't be taken")


class Findings:
    """Collects what is found in one file, bounded."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.kept: list[Finding] = []
        self.errors = 0

    def error(self, line: int, column: int, text: str) -> None:
        self.errors += 1
        if len(self.kept) < MAX_FINDINGS or self.errors == 1:
            self.kept.append(Finding("error", self.file, line, column, text[:300]))

    def warning(self, line: int, column: int, text: str) -> None:
        if len(self.kept) < MAX_FINDINGS:
            self.kept.append(Finding("warning", self.file, line, column, text[:300]))


class Worker(msgspec.Struct, frozen=True, order=True):
    """One worker as its inventory names it."""

    name: str
    host: str  # an IP address or a host name, in lower case
    port: int
    room: str = "main"
    bay: int = 0
    kind: str = "standard"
    weight: float = 1.0
    state: State = "ready"

    @property
    def address(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class Inventory(msgspec.Struct, frozen=True):
    """All workers, by name."""

    workers: tuple[Worker, ...]

    def by_name(self) -> dict[str, Worker]:
        return {worker.name: worker for worker in self.workers}


class Shape(msgspec.Struct, frozen=True):
    """What a file looked like, beside the workers in it: by this one that was cut is known."""

    order: tuple[str, ...] = ()  # the workers' names as they stand
    counted: bool = False  # whether it ended with its count
    ended: bool = True  # whether its last line did
    beside: tuple[str, ...] = ()  # folders of variables beside it that held a file


class Reading(msgspec.Struct, frozen=True):
    """A file that was read."""

    inventory: Inventory
    warnings: list[Finding]
    shape: Shape


class Place(msgspec.Struct, frozen=True):
    """Where a value stands."""

    line: int
    column: int


class Cell(msgspec.Struct, frozen=True):
    """A value as it was written, and where."""

    text: str
    place: Place


class FieldError(ValueError):
    """A value that its field can't hold."""


def mangled(text: str) -> str | None:
    """What a spreadsheet has made of a value, where that can be seen."""
    folded = text.strip().casefold()
    if folded in ERRORS or folded.startswith("####"):
        return f"{text[:40]!r} is a spreadsheet's error, not a value"
    if EXPONENT.fullmatch(folded):
        return f"{text[:40]!r} is a number in the spreadsheet's short form; format the column as text"
    if DATE.fullmatch(folded):
        return f"{text[:40]!r} is a date that the spreadsheet made of it; format the column as text"
    if text[:1] in ("=", "@") and len(text) > 1:
        return f"{text[:40]!r} is a formula, not its value"
    return None


def visible(text: str) -> str | None:
    """What of a value can't be seen: other spaces, zero-width and control characters."""
    if text.isascii() and text.isprintable():
        return None
    for char in text:
        kind = unicodedata.category(char)
        if kind in ("Cc", "Cf", "Co", "Cs", "Zl", "Zp") or (kind == "Zs" and char != " "):
            name = unicodedata.name(char, f"U+{ord(char):04X}").lower()
            return f"{text[:40]!r} holds a character that can't be seen ({name}); type it anew"
    return None


def plain(text: str) -> str:
    """A value without what stands around it.  Raises FieldError."""
    if (why := visible(text)) or (why := mangled(text)):
        raise FieldError(why)
    return text.strip(" ")


def read_name(text: str) -> str:
    text = plain(text)
    if not NAME.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no name: up to 128 letters, digits, dots, dashes and underscores")
    return text


def read_host(text: str) -> str:
    """An IP address or a host name.  Raises FieldError."""
    text = text.strip("[]") if text.startswith("[") else text
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        lowered = text.lower().rstrip(".")
        if lowered.replace(".", "").isdecimal() or not HOST.fullmatch(lowered):
            raise FieldError(f"{text[:40]!r} is neither an IP address nor a host name") from None
        return lowered
    if address.is_unspecified or address.is_multicast:
        raise FieldError(f"{text[:40]!r} is no worker's address")
    return str(address)


def read_port(text: str) -> int:
    text = plain(text)
    if not WHOLE.fullmatch(text) or not 1 <= int(text) <= 65535:
        raise FieldError(f"{text[:40]!r} is no port: a whole number from 1 to 65535")
    return int(text)


def read_address(text: str) -> tuple[str, int | None]:
    """HOST, HOST:PORT or [IPV6]:PORT.  Raises FieldError."""
    text = plain(text)
    if text.startswith("["):
        host, sep, port = text.partition("]")
        if not sep or (port and not port.startswith(":")):
            raise FieldError(f"{text[:40]!r} is no address: write [IPV6]:PORT")
        return read_host(host[1:]), read_port(port[1:]) if port else None
    if text.count(":") > 1:
        return read_host(text), None
    host, sep, port = text.partition(":")
    return read_host(host), read_port(port) if sep else None


def read_label(text: str) -> str:
    text = plain(text)
    if not LABEL.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no name: up to 64 letters, digits, spaces, dots and dashes")
    return text


def read_bay(text: str) -> int:
    text = plain(text)
    if not WHOLE.fullmatch(text) or int(text) > MAX_BAY:
        raise FieldError(f"{text[:40]!r} is no bay: a whole number from 0")
    return int(text)


def read_weight(text: str) -> float:
    text = plain(text)
    if "," in text:
        raise FieldError(f"{text[:40]!r} has a comma; write the decimal point")
    if not DECIMAL.fullmatch(text) or not LEAST_WEIGHT <= float(text) <= MAX_WEIGHT:
        raise FieldError(f"{text[:40]!r} is no weight: a number from {LEAST_WEIGHT:g} to {MAX_WEIGHT:g}")
    return float(text)


def read_state(text: str) -> State:
    text = plain(text).lower()
    for state in STATES:
        if text == state:
            return state
    raise FieldError(f"{text[:40]!r} is no state: write ready, draining or out")


def make_worker(values: dict[str, Cell], at: Place, findings: Findings) -> Worker | None:
    """A worker of its written values; None where one of them is wrong, which is found."""
    before = findings.errors

    def take(field: str, read: Callable[[str], T], default: T) -> T:
        cell = values.get(field)
        if cell is None or not cell.text.strip(" "):
            return default
        try:
            return read(cell.text)
        except FieldError as error:
            findings.error(cell.place.line, cell.place.column, f"{field}: {error}")
            return default

    name = take("name", read_name, "")
    nowhere: tuple[str, int | None] = ("", None)
    host, own = take("address", read_address, nowhere)
    port = take("port", read_port, 0)
    room, bay = take("room", read_label, "main"), take("bay", read_bay, 0)
    kind, weight = take("kind", read_label, "standard"), take("weight", read_weight, 1.0)
    at_work: State = "ready"
    state = take("state", read_state, at_work)
    if findings.errors > before:
        return None
    if not name:
        findings.error(at.line, at.column, "a worker without a name")
        return None
    if not host:
        findings.error(at.line, at.column, f"{name} has no address")
        return None
    if own is not None and port and own != port:
        place = values["address"].place
        findings.error(place.line, place.column, f"{name} has the ports {own} and {port}")
        return None
    if own is None and not port:
        findings.error(at.line, at.column, f"{name} has no port")
        return None
    return Worker(name, host, own or port, room, bay, kind, weight, state)


Own = tuple[tuple[str, int], ...]  # host and port of the front door's own listeners


def is_own(worker: Worker, own: Own) -> bool:
    """Whether a worker's address is a front door's: it would send requests to itself for ever."""
    for host, port in own:
        anywhere = host in ("0.0.0.0", "::") and (worker.host.startswith("127.") or worker.host == "::1")
        if worker.port == port and (worker.host == host or anywhere or worker.host == "localhost"):
            return True
    return False


def gather(found: list[tuple[Worker, Place]], findings: Findings, own: Own = ()) -> Inventory:
    """All workers as one inventory.  Raises InventoryError with every finding where one is an error."""
    names: dict[str, tuple[Worker, Place]] = {}
    addresses: dict[tuple[str, int], tuple[Worker, Place]] = {}
    for worker, place in found:
        folded = worker.name.casefold()
        if own and is_own(worker, own):
            text = f"{worker.name} has the front door's own address {worker.address}"
            findings.error(place.line, place.column, text)
        if folded in names:
            other, at = names[folded]
            if worker == other:
                findings.warning(place.line, place.column, f"{worker.name} stands already in line {at.line}")
                continue
            if worker.name != other.name:
                text = f"{worker.name!r} and {other.name!r} in line {at.line} differ only in case"
            else:
                differ = [f for f in worker.__struct_fields__ if getattr(worker, f) != getattr(other, f)]
                text = f"{worker.name} stands in line {at.line} with another {' and '.join(differ)}"
            findings.error(place.line, place.column, text)
            continue
        names[folded] = worker, place
        key = (worker.host, worker.port)
        if worker.state != "out" and key in addresses:
            other, at = addresses[key]
            text = f"{worker.name} has the address {worker.address} of {other.name} in line {at.line}"
            findings.error(place.line, place.column, text)
        elif worker.state != "out":
            addresses[key] = worker, place
    bare = next(((w, at) for w, at in found if w.name.isdecimal()), None)
    if bare is not None:
        worker, place = bare
        text = f"the name {worker.name} is a bare number: a spreadsheet drops its leading zeros"
        findings.warning(place.line, place.column, text)
    if not names and not findings.errors:
        findings.error(0, 0, "no worker at all: an empty list is never taken")
    if len(names) > MAX_WORKERS:
        findings.error(0, 0, f"more than {MAX_WORKERS} workers")
    if findings.errors:
        raise InventoryError(findings.kept)
    return Inventory(tuple(sorted(worker for worker, _ in names.values())))
