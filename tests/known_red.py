"""Reads KNOWN-RED.txt at the root: tests that fail for a known fault, as lines `test | cause | issue`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_TESTS = 3
FLAKY_PREFIX = "at times"  # of the cause of a fault that does not occur in every run


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A known failure; `test` is a node id, or the part of one before its parameters."""

    test: str
    cause: str
    issue: str

    @property
    def fails_always(self) -> bool:
        return not self.cause.startswith(FLAKY_PREFIX)

    def matches(self, node_id: str) -> bool:
        return node_id == self.test or node_id.partition("[")[0] == self.test


def parse(text: str) -> list[KnownRed]:
    """Parse the file's text.  Raises ValueError for an invalid line and for more than `MAX_TESTS`."""
    known = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt: write `tests/FILE.py::TEST | cause | issue`, not {line!r}")
        known.append(KnownRed(*parts))
    if len(known) > MAX_TESTS:
        raise ValueError(
            f"KNOWN-RED.txt: {len(known)} tests, at most {MAX_TESTS} are allowed: repair one first"
        )
    return known


def load() -> list[KnownRed]:
    """Return the listed tests; none if there is no file."""
    return parse(FILE.read_text(encoding="utf-8")) if FILE.exists() else []
