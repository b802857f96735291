"""The types of a compiled description, and what is found wrong with one."""

from __future__ import annotations

from typing import Literal

import msgspec

from orchidhill.interface import Effect

Level = Literal["error", "warning", "note"]
METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")  # OpenAPI 3.1, 4.8.9
READS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})  # safe by RFC 9110, 9.2.1, unless declared otherwise
MAX_FINDINGS = 200  # kept of one description; the rest is only counted


class Finding(msgspec.Struct, frozen=True):
    """One thing wrong with a description, with the file and the JSON pointer (RFC 6901) of its place."""

    level: Level
    file: str
    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}{self.place and '#' + self.place}: {self.level}: {self.text}"


class DescriptionError(ValueError):
    """A description that can't be served; `findings` say why, errors first."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = sorted(findings, key=lambda f: ("error", "warning", "note").index(f.level))
        super().__init__(str(self.findings[0]) if self.findings else "the description can't be served")


class Findings:
    """Collects what is found, bounded: a hostile description may hold millions of mistakes."""

    def __init__(self) -> None:
        self.kept: list[Finding] = []
        self.errors = 0
        self.left_out = 0

    def add(self, level: Level, file: str, place: str, text: str) -> None:
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
    """Units that a request takes from its customer's quota.

    Without `source` it is `amount`; else a parameter's value over `per`, rounded up, from 1 to `most`.
    `amount` then counts where the parameter is absent.
    """

    amount: float = 1.0
    source: Literal["", "query", "path", "header"] = ""
    name: str = ""
    per: float = 1.0
    most: float = 1.0

    @property
    def greatest(self) -> float:
        return self.most if self.source else self.amount


class Key(msgspec.Struct, frozen=True):
    """Where a keyed request carries its key."""

    source: Literal["header", "query"] = "header"
    name: str = "Idempotency-Key"


class Operation(msgspec.Struct, frozen=True):
    """One method of one path template, with all that a request to it is handled by; times in seconds."""

    id: str  # the operationId, or METHOD and path where there is none
    method: str
    path: str  # the template with the server's base path before it
    cls: str
    effect: Effect
    cost: Cost
    aim: float
    deadline: float
    worth: float
    key: Key | None = None  # of a keyed one
    deprecated: bool = False
    overrides: tuple[str, ...] = ()  # its own parameters that are named like a method override


class ClassTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a site says of a request class; None leaves it to the general default."""

    aim: float | None = None
    deadline: float | None = None
    worth: float | None = None


class Options(msgspec.Struct, frozen=True):
    """What a site adds to its description: part of what a compiled one is known by."""

    base: str | None = None  # instead of the base paths of `servers`
    aim: float = 2.0
    deadline: float = 10.0
    worth: float = 1.0
    classes: dict[str, ClassTerms] = {}
    most_deadline: float = 60.0
    most_operations: int = 20_000


class Compiled(msgspec.Struct, frozen=True):
    """A description that can be served."""

    title: str
    version: str
    operations: list[Operation]
    findings: list[Finding]
    left_out: int  # findings beyond the bound
    files: dict[str, str]  # SHA-256 in hex of each file that was read
