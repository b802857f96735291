"""A new list put where a front door follows it: judged before, written whole, awaited after."""

from __future__ import annotations

import contextlib
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from ivymux.inventory.ansible import write_ansible
from ivymux.inventory.change_policy import Judge, Limits, Verdict, cut_reason, differences
from ivymux.inventory.csv_reader import write_sheet
from ivymux.inventory.model import Finding, Inventory, InventoryError, Own, Reading, Shape
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.files import Content, is_sheet, parse, read
from ivymux.membership.snapshot_store import Keeper


@dataclass(frozen=True, slots=True)
class Proposal:
    """A list that could be put at `target`; `data` is None where it is there already."""

    target: Path
    data: bytes | None
    reading: Reading
    verdict: Verdict | None  # None where nothing is known to compare with


def convert(inventory: Inventory, target: Path) -> bytes:
    """An inventory in the form that a file's name asks for.  Raises InventoryError where it would not be
    read as the same again.
    """
    data = write_sheet(inventory) if is_sheet(target) else write_ansible(inventory)
    if parse(Content(target.name, data, {})).inventory != inventory:
        raise InventoryError([Finding("error", target.name, 0, 0, "the list can't be written in this form")])
    return data


def propose(source: Path, target: Path, limits: Limits, last: Snapshot | None, own: Own = ()) -> Proposal:
    """Judge a file as the one a front door follows.  Raises InventoryError, OSError."""
    content = read(source)
    reading = parse(content, own)
    before = read(target) if target.exists() else Content(target.name, b"", {})
    if is_sheet(source) == is_sheet(target) and not any(content.beside.values()):
        data = content.data
    else:
        data = convert(reading.inventory, target)
    whole = Content(target.name, data, before.beside)
    # What stands beside the target counts for it too, and goes before what a list says of a worker.
    if any(before.beside.values()) and parse(whole, own).inventory != reading.inventory:
        told = "group_vars or host_vars beside it would change what this list says: change it there"
        raise InventoryError([Finding("error", target.name, 0, 0, told)])
    current, shape = (last.inventory, last.shape) if last is not None else current_of(before, own)
    verdict = None
    if current is not None:
        shape_now = parse(whole, own).shape
        change = differences(current, reading.inventory)
        cut = cut_reason(shape, shape_now, current, reading.inventory, change)
        verdict = Judge(limits, current).look(reading.inventory, 0.0, cut)
    return Proposal(target, None if data == before.data else data, reading, verdict)


def current_of(content: Content, own: Own) -> tuple[Inventory | None, Shape]:
    try:
        reading = parse(content, own)
    except InventoryError:
        return None, Shape()
    return reading.inventory, reading.shape


def put(proposal: Proposal) -> None:
    """Replace the target whole or not at all.  Raises OSError."""
    if proposal.data is None:
        return
    target = proposal.target.resolve()  # a link stays a link
    handle, name = tempfile.mkstemp(dir=target.parent, prefix=".", suffix=".part")
    try:
        with os.fdopen(handle, "wb") as sink:
            sink.write(proposal.data)
            sink.flush()
            os.fsync(sink.fileno())
        os.chmod(name, target.stat().st_mode & 0o777 if target.exists() else 0o644)
        os.replace(name, target)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise


def taken(keeper: Keeper, inventory: Inventory, seconds: float) -> Snapshot | None:
    """Wait until the front door has kept a list as its last; None if it has not within so many seconds."""
    end = time.monotonic() + seconds
    while True:
        last = keeper.last()
        if last is not None and last.inventory == inventory:
            return last
        if time.monotonic() >= end:
            return None
        time.sleep(0.1)
