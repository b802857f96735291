"""Reads KNOWN-RED.txt at the root: tests that fail for a known fault, as lines `test | cause | issue`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_TESTS = 3  # without those of UNCAPPED_ISSUE
UNCAPPED_ISSUE = "issue 79"  # "these entries don't count against the list's cap: one line a test"
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
    capped_count = sum(entry.issue != UNCAPPED_ISSUE for entry in known)
    if capped_count > MAX_TESTS:
        raise ValueError(
            f"KNOWN-RED.txt: {capped_count} tests, at most {MAX_TESTS} are allowed: repair one first"
        )
    return known


def load() -> list[KnownRed]:
    """Return the listed tests; none if there is no file."""
    return parse(FILE.read_text(encoding="utf-8")) if FILE.exists() else []
