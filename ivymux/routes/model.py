"""The types of a compiled description, and the findings about an invalid one."""

from __future__ import annotations

from typing import Literal

import msgspec

from orchidhill.interface import Effect

Level = Literal["error", "warning", "note"]
METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")  # OpenAPI 3.1, 4.8.9
SAFE_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE"}
)  # safe by RFC 9110, 9.2.1, unless declared otherwise
MAX_FINDINGS = 200  # for one description; further ones are only counted


class Finding(msgspec.Struct, frozen=True):
    """A problem in a description, with its file and, as `place`, its JSON pointer (RFC 6901)."""

    level: Level
    file: str
    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}{self.place and '#' + self.place}: {self.level}: {self.text}"


class DescriptionError(ValueError):
    """A description that cannot be served; `findings` has the reasons, errors first."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = sorted(findings, key=lambda f: ("error", "warning", "note").index(f.level))
        super().__init__(str(self.findings[0]) if self.findings else "the description cannot be served")


class Findings:
    """Collects findings up to a limit, because a hostile description may contain millions of errors."""

    def __init__(self) -> None:
        self.kept: list[Finding] = []
        self.errors = 0
        self.left_out = 0

    def add(self, level: Level, file: str, place: str, text: str) -> None:
        """Add a finding; beyond MAX_FINDINGS it is only counted, unless it is the first error."""
        if level == "error":
            self.errors += 1
        if len(self.kept) < MAX_FINDINGS or (level == "error" and self.errors == 1):
            self.kept.append(Finding(level, file, place, text[:300]))
        else:
            self.left_out += 1

    def error(self, file: str, place: str, text: str) -> None:
        self.add("error", file, place, text)

    def warning(self, file: str, place: str, text: str) -> None:
        self.add("warning", file, place, text)

    def note(self, file: str, place: str, text: str) -> None:
        self.add("note", file, place, text)


class Cost(msgspec.Struct, frozen=True):
    """How many units a request takes from its customer's quota.

    Without a `source` that is `amount`.  Otherwise it is a parameter's value divided by `per`, rounded up,
    from 1 to `most`, and `amount` if the parameter is absent.
    """

    amount: float = 1.0
    source: Literal["", "query", "path", "header"] = ""
    name: str = ""
    per: float = 1.0
    most: float = 1.0

    @property
    def maximum(self) -> float:
        """The largest number of units that a request can take."""
        return self.most if self.source else self.amount


class Key(msgspec.Struct, frozen=True):
    """Where a keyed request carries its idempotency key."""

    source: Literal["header", "query"] = "header"
    name: str = "Idempotency-Key"


class Operation(msgspec.Struct, frozen=True):
    """A method of a path template, with everything that decides how its requests are handled.

    Times are in seconds.
    """

    id: str  # the operationId, or METHOD and path if there is none
    method: str
    path: str  # the template, after the server's base path
    cls: str
    effect: Effect
    cost: Cost
    aim: float
    deadline: float
    worth: float
    key: Key | None = None  # of a keyed operation
    deprecated: bool = False
    overrides: tuple[str, ...] = ()  # its declared parameters that have the name of a method override


class ClassDefaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site's defaults for a request class; None if the general default applies."""

    aim: float | None = None
    deadline: float | None = None
    worth: float | None = None


class Options(msgspec.Struct, frozen=True):
    """What a site sets for compiling its description; a cached result is valid for the same options only.

    Times are in seconds.
    """

    base: str | None = None  # replaces the base paths of `servers`
    aim: float = 2.0
    deadline: float = 10.0
    worth: float = 1.0
    classes: dict[str, ClassDefaults] = {}
    most_deadline: float = 60.0  # the largest allowed
    most_operations: int = 20_000


class CompiledDescription(msgspec.Struct, frozen=True):
    """A valid description, compiled."""

    title: str
    version: str
    operations: list[Operation]
    findings: list[Finding]
    left_out: int  # how many findings exceeded MAX_FINDINGS
    files: dict[str, str]  # SHA-256 in hex of each file that was read
