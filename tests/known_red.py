"""Tests that fail for a known fault: KNOWN-RED.txt at the root, one line each, `test | cause | issue`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
FLAKY = "at times"  # begins the cause of a fault that does not show in every run


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test by its node id, or by the part of it before its parameters."""

    test: str
    cause: str
    issue: str

    @property
    def always(self) -> bool:
        return not self.cause.startswith(FLAKY)

    def names(self, node: str) -> bool:
        return node == self.test or node.partition("[")[0] == self.test


def parse(text: str) -> list[KnownRed]:
    """Raises ValueError for a line that is none, and for too many of them."""
    known = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt: write `tests/FILE.py::TEST | cause | issue`, not {line!r}")
        known.append(KnownRed(*parts))
    if len(known) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(known)} tests, {MOST} at most: mend one first")
    return known


def load() -> list[KnownRed]:
    return parse(FILE.read_text(encoding="utf-8")) if FILE.exists() else []
