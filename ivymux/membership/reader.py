"""Reads and judges an inventory in a process of its own, so that a large one does not hold up a serving one.

`python -m ivymux.membership.reader` with a `Task` as MessagePack on standard input, a `Done` on the output.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
from pathlib import Path

import msgspec

from ivymux.inventory.change_policy import Change, Judge, Limits, cut_reason, differences
from ivymux.inventory.model import Finding, Inventory, InventoryError, Own, Shape

MAX_MEMORY = 1 << 30  # bytes of address space
MAX_CPU = 30  # seconds
TIMEOUT = 45.0


class Task(msgspec.Struct, frozen=True):
    path: str
    limits: Limits
    current: Inventory | None
    base: Inventory | None  # which counted when the judge's window began
    shape: Shape = Shape()  # of the file that the current one came from
    own: Own = ()


class Done(msgspec.Struct, frozen=True):
    """What came of it; without an inventory `problem` or an error among the findings says why."""

    digest: str = ""
    inventory: Inventory | None = None
    findings: list[Finding] = []
    change: Change | None = None
    reasons: tuple[str, ...] = ()
    confirmation: str = ""
    problem: str = ""
    shape: Shape = Shape()


def work(task: Task) -> Done:
    """The child's part: read whole, parse, judge."""
    from ivymux.membership.files import FilesError, parse_content, read_content

    try:
        content = read_content(Path(task.path))
    except FilesError as error:
        return Done(problem=str(error))
    try:
        reading = parse_content(content, task.own)
    except InventoryError as error:
        return Done(content.digest, findings=error.findings)
    if task.current is None:
        return Done(content.digest, reading.inventory, reading.warnings, shape=reading.shape)
    judge = Judge(task.limits, task.current)
    if task.base is not None:
        judge.taken.append((0.0, task.base))
    change = differences(task.current, reading.inventory)
    cut = cut_reason(task.shape, reading.shape, task.current, reading.inventory, change)
    verdict = judge.look(reading.inventory, 0.0, cut)
    return Done(
        content.digest, reading.inventory, reading.warnings, verdict.change, verdict.reasons,
        verdict.confirmation, shape=reading.shape,
    )  # fmt: skip


def main() -> int:
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY, MAX_MEMORY))
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU, MAX_CPU))
    os.nice(10)
    task = msgspec.msgpack.decode(sys.stdin.buffer.read(), type=Task)
    try:
        done = work(task)
    except (MemoryError, RecursionError):
        done = Done(problem=f"{task.path} needs more memory than reading may take")
    sys.stdout.buffer.write(msgspec.msgpack.encode(done))
    return 0


async def read_beside(task: Task) -> Done:
    """Read and judge in a process of its own; what goes wrong with that is told as a problem."""
    try:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux.membership.reader",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
    except OSError as error:
        return Done(problem=f"the reader can't be started: {error.strerror}")
    try:
        async with asyncio.timeout(TIMEOUT):
            out, _ = await child.communicate(msgspec.msgpack.encode(task))
        return msgspec.msgpack.decode(out, type=Done)
    except TimeoutError:
        return Done(problem=f"{task.path} was not read within {TIMEOUT:g} s")
    except (OSError, RuntimeError, msgspec.MsgspecError):
        return Done(problem=f"{task.path} needs more time or memory than reading may take")
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()


if __name__ == "__main__":
    sys.exit(main())
