"""Reads and checks an inventory in a child process, so that a large one does not delay requests.

`python -m ivymux.membership.reader` reads a `ReadTask` as MessagePack from standard input and writes a
`ReadResult` to standard output.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
from pathlib import Path

import msgspec

from ivymux.inventory.change_policy import Change, ChangePolicy, Limits, differences, truncation_reason
from ivymux.inventory.model import FileShape, Finding, GatewayAddresses, Inventory, InventoryError

MAX_ADDRESS_SPACE_BYTES = 1 << 30
MAX_CPU_TIME_S = 30
TIMEOUT_S = 45.0
NICENESS = 10  # added to the child process's, so that requests go first


class ReadTask(msgspec.Struct, frozen=True):
    """The file to read, and what its content is checked against."""

    path: str
    limits: Limits
    current: Inventory | None  # the list in force; None if there is none
    base: Inventory | None  # the list in force at the start of the window in which changes add up
    shape: FileShape = FileShape()  # of the file that `current` was read from
    own: GatewayAddresses = ()  # the gateway's listeners, which no worker may have as its address


class ReadResult(msgspec.Struct, frozen=True):
    """The outcome; without an inventory, `problem` or an error among the findings has the reason.

    A change with `reasons` is held back until an operator gives its `confirmation` code.
    """

    digest: str = ""
    inventory: Inventory | None = None
    findings: list[Finding] = []
    change: Change | None = None
    reasons: tuple[str, ...] = ()
    confirmation: str = ""
    problem: str = ""
    shape: FileShape = FileShape()


def read_and_check(task: ReadTask) -> ReadResult:
    """Read and parse the files and check the change against the limits; runs in the child process."""
    from ivymux.membership.files import FilesError, parse_content, read_content

    try:
        content = read_content(Path(task.path))
    except FilesError as error:
        return ReadResult(problem=str(error))
    try:
        reading = parse_content(content, task.own)
    except InventoryError as error:
        return ReadResult(content.digest, findings=error.findings)
    if task.current is None:
        return ReadResult(content.digest, reading.inventory, reading.warnings, shape=reading.shape)
    policy = ChangePolicy(task.limits, task.current)
    if task.base is not None:
        policy.accepted.append((0.0, task.base))
    change = differences(task.current, reading.inventory)
    truncation = truncation_reason(task.shape, reading.shape, task.current, reading.inventory, change)
    verdict = policy.review(reading.inventory, 0.0, truncation)
    return ReadResult(
        content.digest, reading.inventory, reading.warnings, verdict.change, verdict.reasons,
        verdict.confirmation, shape=reading.shape,
    )  # fmt: skip


def main() -> int:
    """Run the child process within its limits on memory and CPU time."""
    resource.setrlimit(resource.RLIMIT_AS, (MAX_ADDRESS_SPACE_BYTES, MAX_ADDRESS_SPACE_BYTES))
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU_TIME_S, MAX_CPU_TIME_S))
    os.nice(NICENESS)
    task = msgspec.msgpack.decode(sys.stdin.buffer.read(), type=ReadTask)
    try:
        result = read_and_check(task)
    except (MemoryError, RecursionError):
        result = ReadResult(problem=f"{task.path} can't be read within the memory limit of the reader")
    sys.stdout.buffer.write(msgspec.msgpack.encode(result))
    return 0


async def read_in_child_process(task: ReadTask) -> ReadResult:
    """Read and check in a child process; a failure of the process is returned as a `problem`."""
    try:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux.membership.reader",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
    except OSError as error:
        return ReadResult(problem=f"the reader can't be started: {error.strerror}")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            output, _ = await child.communicate(msgspec.msgpack.encode(task))
        return msgspec.msgpack.decode(output, type=ReadResult)
    except TimeoutError:
        return ReadResult(problem=f"{task.path} was not read within {TIMEOUT_S:g} s")
    except (OSError, RuntimeError, msgspec.MsgspecError):
        return ReadResult(problem=f"{task.path} can't be read within the CPU and memory limits of the reader")
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()


if __name__ == "__main__":
    sys.exit(main())
