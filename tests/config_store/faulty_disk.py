"""Runs a program of a core machine whose disk fails on demand: `python faulty_disk.py ROLE --settings FILE`.

The file beside its settings with the suffix `.disk` says what each write does: `refuse`, `hang`, or as usual.
With `refuse open`, the store cannot be opened either.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from ivymux.config_store import program
from ivymux.config_store.actions import Persist
from ivymux.config_store.durable_store import DiskFailure, DurableStore
from ivymux.runtime.program import main

POLL_INTERVAL_S = 0.01

role, *arguments = sys.argv[1:]
orders = Path(arguments[-1]).with_suffix(".disk")
program.MAX_QUEUE = 20  # so that a disk that hangs counts as failed after some heartbeats


def obey() -> None:
    """Refuse, or wait, as long as the orders say so.  Raises DiskFailure."""
    while (order := orders.read_text() if orders.exists() else "") == "hang":
        time.sleep(POLL_INTERVAL_S)
    if order.startswith("refuse"):
        raise DiskFailure("refused in a test")


class FaultyStore(DurableStore):
    """A store whose writes obey the orders."""

    def __init__(self, folder: Path) -> None:
        if orders.exists() and orders.read_text() == "refuse open":
            raise DiskFailure("refused in a test when opened")
        super().__init__(folder)

    def write(self, steps: list[Persist]) -> None:
        obey()
        super().write(steps)

    def check_writable(self) -> None:
        obey()
        super().check_writable()


sys.modules["ivymux.config_store.durable_store"].DurableStore = FaultyStore  # type: ignore[attr-defined]
sys.exit(main(role, arguments))
