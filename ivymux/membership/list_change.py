"""Replaces the list that a gateway follows: checks the change, writes atomically, waits for its effect."""

from __future__ import annotations

import contextlib
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from ivymux.inventory.ansible import write_ansible
from ivymux.inventory.change_policy import ChangePolicy, Limits, Verdict, differences, truncation_reason
from ivymux.inventory.csv_reader import write_csv
from ivymux.inventory.model import (
    FileShape,
    Finding,
    GatewayAddresses,
    Inventory,
    InventoryError,
    ParsedInventory,
)
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.files import Content, is_csv, parse_content, read_content
from ivymux.membership.snapshot_store import SnapshotStore

POLL_PERIOD_S = 0.1  # between looks at the snapshots for the new list


@dataclass(frozen=True, slots=True)
class Proposal:
    """A new list for the file `target`; `data` is None if the file already has this content."""

    target: Path
    data: bytes | None
    reading: ParsedInventory
    verdict: Verdict | None  # None if there is no earlier list to compare with


def convert(inventory: Inventory, target: Path) -> bytes:
    """Encode an inventory in the format of the target's file name.

    Raises InventoryError if reading the result would not give the same inventory.
    """
    data = write_csv(inventory) if is_csv(target) else write_ansible(inventory)
    if parse_content(Content(target.name, data, {})).inventory != inventory:
        raise InventoryError(
            [Finding("error", target.name, 0, 0, "this file format can't represent the list")]
        )
    return data


def propose(
    source: Path,
    target: Path,
    limits: Limits,
    last: Snapshot | None,
    gateway_addresses: GatewayAddresses = (),
) -> Proposal:
    """Check `source` as the new content of `target`, the file that a gateway follows.

    `last` is the gateway's latest snapshot; without one, the change is measured from the target's content.

    Raises InventoryError, OSError.
    """
    content = read_content(source)
    reading = parse_content(content, gateway_addresses)
    previous = read_content(target) if target.exists() else Content(target.name, b"", {})
    if is_csv(source) == is_csv(target) and not any(content.beside.values()):
        data = content.data
    else:
        data = convert(reading.inventory, target)
    proposed = Content(target.name, data, previous.beside)
    # group_vars and host_vars next to the target apply to the new content too and override its values.
    if (
        any(previous.beside.values())
        and parse_content(proposed, gateway_addresses).inventory != reading.inventory
    ):
        message = "group_vars or host_vars next to it override values of the new list: change them there"
        raise InventoryError([Finding("error", target.name, 0, 0, message)])
    current, shape = (
        (last.inventory, last.shape) if last is not None else parse_current(previous, gateway_addresses)
    )
    verdict = None
    if current is not None:
        shape_now = parse_content(proposed, gateway_addresses).shape
        change = differences(current, reading.inventory)
        truncation = truncation_reason(shape, shape_now, current, reading.inventory, change)
        verdict = ChangePolicy(limits, current).review(reading.inventory, 0.0, truncation)
    return Proposal(target, None if data == previous.data else data, reading, verdict)


def parse_current(
    content: Content, gateway_addresses: GatewayAddresses
) -> tuple[Inventory | None, FileShape]:
    """Return the target's present inventory and shape; no inventory if it is invalid."""
    try:
        reading = parse_content(content, gateway_addresses)
    except InventoryError:
        return None, FileShape()
    return reading.inventory, reading.shape


def write_proposal(proposal: Proposal) -> None:
    """Replace the target atomically.  Raises OSError."""
    if proposal.data is None:
        return
    target = proposal.target.resolve()  # replace the file that a link points to, not the link
    handle, temporary_name = tempfile.mkstemp(dir=target.parent, prefix=".", suffix=".part")
    try:
        with os.fdopen(handle, "wb") as sink:
            sink.write(proposal.data)
            sink.flush()
            os.fsync(sink.fileno())
        os.chmod(temporary_name, target.stat().st_mode & 0o777 if target.exists() else 0o644)
        os.replace(temporary_name, target)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary_name)
        raise


def wait_until_stored(store: SnapshotStore, inventory: Inventory, timeout_s: float) -> Snapshot | None:
    """Wait until the gateway's latest snapshot has this list; return it, or None after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while True:
        last = store.load_last()
        if last is not None and last.inventory == inventory:
            return last
        if time.monotonic() >= deadline:
            return None
        time.sleep(POLL_PERIOD_S)
