"""The types of an inventory, the findings about an invalid one, and the syntax of each field."""

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
INTEGER = re.compile(r"\d{1,10}", re.ASCII)
DECIMAL = re.compile(r"\d{1,6}(\.\d{1,6})?", re.ASCII)
EXPONENT = re.compile(r"[+-]?\d+([.,]\d+)?[eE][+-]?\d+", re.ASCII)
DATE = re.compile(
    r"\d{1,4}[-/.]\d{1,2}[-/.]\d{1,4}|\d{1,2}[-. ](jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec)[a-z]*"
    r"|(jan|feb|mar|apr|may|jun|jul|aug|sep|oct|nov|dec)[a-z]*[-. ]\d{1,4}",
    re.ASCII | re.I,
)
SPREADSHEET_ERRORS = frozenset(
    ("#ref!", "#n/a", "#name?", "#value!", "#div/0!", "#null!", "#num!", "#spill!", "########")
)
MIN_WEIGHT, MAX_WEIGHT = 0.001, 1000.0  # relative to other workers
MAX_BAY = 1 << 31


T = TypeVar("T")


class Finding(msgspec.Struct, frozen=True):
    """A problem and its position; line and column count from 1, and are 0 if the problem has no position."""

    level: Literal["error", "warning"]
    file: str
    line: int
    column: int
    text: str

    def __str__(self) -> str:
        location = f":{self.line}:{self.column}" if self.column else f":{self.line}" if self.line else ""
        return f"{self.file}{location}: {self.level}: {self.text}"


class InventoryError(ValueError):
    """An invalid inventory; `findings` has the reasons, errors first, in the order of the lines."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = sorted(findings, key=lambda f: (f.level != "error", f.line, f.column))
        super().__init__(str(self.findings[0]) if self.findings else "the inventory is invalid")


class Findings:
    """Collects the findings of one file, up to MAX_FINDINGS."""

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
    """A backend as its inventory lists it."""

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
        """HOST:PORT, or [IPV6]:PORT."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class Inventory(msgspec.Struct, frozen=True):
    """All workers, sorted by name."""

    workers: tuple[Worker, ...]

    def by_name(self) -> dict[str, Worker]:
        return {worker.name: worker for worker in self.workers}


class FileShape(msgspec.Struct, frozen=True):
    """Properties of a file besides its workers, with which the next version is checked for truncation."""

    order: tuple[str, ...] = ()  # the workers' names in the order of the file
    counted: bool = False  # whether the last row has the number of workers
    ended: bool = True  # whether the last line is complete
    beside: tuple[str, ...] = ()  # the folders of variables next to the file that contain files


class ParsedInventory(msgspec.Struct, frozen=True):
    """The result of reading a file."""

    inventory: Inventory
    warnings: list[Finding]
    shape: FileShape


class Position(msgspec.Struct, frozen=True):
    """The position of a value in its file."""

    line: int
    column: int


class SourceValue(msgspec.Struct, frozen=True):
    """A value as written in the file, with its position."""

    text: str
    place: Position


class FieldError(ValueError):
    """A value that is not valid for its field."""


def spreadsheet_damage(text: str) -> str | None:
    """Describe how a spreadsheet changed a value; None if there is no sign of that."""
    folded = text.strip().casefold()
    if folded in SPREADSHEET_ERRORS or folded.startswith("####"):
        return f"{text[:40]!r} is a spreadsheet error, not a value"
    if EXPONENT.fullmatch(folded):
        return f"{text[:40]!r} is a number in scientific notation; format the column as text"
    if DATE.fullmatch(folded):
        return f"{text[:40]!r} was converted to a date by the spreadsheet; format the column as text"
    if text[:1] in ("=", "@") and len(text) > 1:
        return f"{text[:40]!r} is a formula, not its value"
    return None


def invisible_character(text: str) -> str | None:
    """Describe an invisible character in a value, such as a no-break space or a zero-width character."""
    if text.isascii() and text.isprintable():
        return None
    for char in text:
        category = unicodedata.category(char)
        if category in ("Cc", "Cf", "Co", "Cs", "Zl", "Zp") or (category == "Zs" and char != " "):
            name = unicodedata.name(char, f"U+{ord(char):04X}").lower()
            return f"{text[:40]!r} contains an invisible character ({name}); retype it"
    return None


def clean(text: str) -> str:
    """Strip a value of surrounding spaces.  Raises FieldError for signs of damage."""
    if (why := invisible_character(text)) or (why := spreadsheet_damage(text)):
        raise FieldError(why)
    return text.strip(" ")


def parse_name(text: str) -> str:
    text = clean(text)
    if not NAME.fullmatch(text):
        raise FieldError(
            f"{text[:40]!r} is not a valid name: up to 128 letters, digits, dots, dashes and underscores"
        )
    return text


def parse_host(text: str) -> str:
    """Parse an IP address or a host name.  Raises FieldError."""
    text = text.strip("[]") if text.startswith("[") else text
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        lowered = text.lower().rstrip(".")
        if lowered.replace(".", "").isdecimal() or not HOST.fullmatch(lowered):
            raise FieldError(f"{text[:40]!r} is neither an IP address nor a host name") from None
        return lowered
    if address.is_unspecified or address.is_multicast:
        raise FieldError(f"{text[:40]!r} cannot be a worker's address")
    return str(address)


def parse_port(text: str) -> int:
    text = clean(text)
    if not INTEGER.fullmatch(text) or not 1 <= int(text) <= 65535:
        raise FieldError(f"{text[:40]!r} is not a port: a whole number from 1 to 65535")
    return int(text)


def parse_worker_address(text: str) -> tuple[str, int | None]:
    """Parse HOST, HOST:PORT or [IPV6]:PORT into the host and the port, if any.  Raises FieldError."""
    text = clean(text)
    if text.startswith("["):
        host, sep, port = text.partition("]")
        if not sep or (port and not port.startswith(":")):
            raise FieldError(f"{text[:40]!r} is not an address: write [IPV6]:PORT")
        return parse_host(host[1:]), parse_port(port[1:]) if port else None
    if text.count(":") > 1:
        return parse_host(text), None
    host, sep, port = text.partition(":")
    return parse_host(host), parse_port(port) if sep else None


def parse_label(text: str) -> str:
    """Parse the name of a room or kind.  Raises FieldError."""
    text = clean(text)
    if not LABEL.fullmatch(text):
        raise FieldError(
            f"{text[:40]!r} is not a valid name: up to 64 letters, digits, spaces, dots and dashes"
        )
    return text


def parse_bay(text: str) -> int:
    text = clean(text)
    if not INTEGER.fullmatch(text) or int(text) > MAX_BAY:
        raise FieldError(f"{text[:40]!r} is not a bay: a whole number from 0")
    return int(text)


def parse_weight(text: str) -> float:
    text = clean(text)
    if "," in text:
        raise FieldError(f"{text[:40]!r} has a comma; write the decimal point")
    if not DECIMAL.fullmatch(text) or not MIN_WEIGHT <= float(text) <= MAX_WEIGHT:
        raise FieldError(f"{text[:40]!r} is not a weight: a number from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}")
    return float(text)


def parse_state(text: str) -> State:
    text = clean(text).lower()
    for state in STATES:
        if text == state:
            return state
    raise FieldError(f"{text[:40]!r} is not a state: write ready, draining or out")


def make_worker(values: dict[str, SourceValue], position: Position, findings: Findings) -> Worker | None:
    """Build a worker from its values; add findings and return None if a value is invalid or missing."""
    errors_before = findings.errors

    def parse(field: str, parser: Callable[[str], T], default: T) -> T:
        value = values.get(field)
        if value is None or not value.text.strip(" "):
            return default
        try:
            return parser(value.text)
        except FieldError as error:
            findings.error(value.place.line, value.place.column, f"{field}: {error}")
            return default

    name = parse("name", parse_name, "")
    no_address: tuple[str, int | None] = ("", None)
    host, address_port = parse("address", parse_worker_address, no_address)
    port = parse("port", parse_port, 0)
    room, bay = parse("room", parse_label, "main"), parse("bay", parse_bay, 0)
    kind, weight = parse("kind", parse_label, "standard"), parse("weight", parse_weight, 1.0)
    default_state: State = "ready"
    state = parse("state", parse_state, default_state)
    if findings.errors > errors_before:
        return None
    if not name:
        findings.error(position.line, position.column, "a worker without a name")
        return None
    if not host:
        findings.error(position.line, position.column, f"{name} has no address")
        return None
    if address_port is not None and port and address_port != port:
        address_position = values["address"].place
        findings.error(
            address_position.line,
            address_position.column,
            f"{name} has two different ports, {address_port} and {port}",
        )
        return None
    if address_port is None and not port:
        findings.error(position.line, position.column, f"{name} has no port")
        return None
    return Worker(name, host, address_port or port, room, bay, kind, weight, state)


GatewayAddresses = tuple[tuple[str, int], ...]  # host and port of each of the gateway's own listeners


def is_gateway_address(worker: Worker, gateway_addresses: GatewayAddresses) -> bool:
    """Whether a worker's address is the gateway's own, which would send requests to itself in a loop."""
    for host, port in gateway_addresses:
        anywhere = host in ("0.0.0.0", "::") and (worker.host.startswith("127.") or worker.host == "::1")
        if worker.port == port and (worker.host == host or anywhere or worker.host == "localhost"):
            return True
    return False


def build_inventory(
    found: list[tuple[Worker, Position]], findings: Findings, gateway_addresses: GatewayAddresses = ()
) -> Inventory:
    """Build the inventory and check workers against each other.

    Raises InventoryError with all findings if one of them is an error.
    """
    names: dict[str, tuple[Worker, Position]] = {}
    addresses: dict[tuple[str, int], tuple[Worker, Position]] = {}
    for worker, position in found:
        folded = worker.name.casefold()
        if gateway_addresses and is_gateway_address(worker, gateway_addresses):
            text = f"{worker.name} has the gateway's own address {worker.address}"
            findings.error(position.line, position.column, text)
        if folded in names:
            other, earlier = names[folded]
            if worker == other:
                findings.warning(
                    position.line, position.column, f"{worker.name} is already listed in line {earlier.line}"
                )
                continue
            if worker.name != other.name:
                text = f"{worker.name!r} and {other.name!r} in line {earlier.line} differ only in case"
            else:
                differ = [f for f in worker.__struct_fields__ if getattr(worker, f) != getattr(other, f)]
                text = f"{worker.name} is listed in line {earlier.line} with another {' and '.join(differ)}"
            findings.error(position.line, position.column, text)
            continue
        names[folded] = worker, position
        key = (worker.host, worker.port)
        if worker.state != "out" and key in addresses:
            other, earlier = addresses[key]
            text = f"{worker.name} has the address {worker.address} of {other.name} in line {earlier.line}"
            findings.error(position.line, position.column, text)
        elif worker.state != "out":
            addresses[key] = worker, position
    numeric = next(((w, position) for w, position in found if w.name.isdecimal()), None)
    if numeric is not None:
        worker, position = numeric
        text = f"the name {worker.name} is a plain number: spreadsheets drop leading zeros"
        findings.warning(position.line, position.column, text)
    if not names and not findings.errors:
        findings.error(0, 0, "no workers: an empty list is never accepted")
    if len(names) > MAX_WORKERS:
        findings.error(0, 0, f"more than {MAX_WORKERS} workers")
    if findings.errors:
        raise InventoryError(findings.kept)
    return Inventory(tuple(sorted(worker for worker, _ in names.values())))
