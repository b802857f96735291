"""The log: one sentence per line with the component's prefix, through eliot, to standard output.

A log that nobody reads must not stop the process: a line for which a pipe has no room is dropped and counted.
"""

from __future__ import annotations

import os
import select
import sys
import time

from eliot import add_destinations, log_message

MAX_LINES_PER_S = 20
MAX_LINE_CHARS = 1000  # of up to 4 bytes: a pipe that can be written to has room for 4096 bytes


class LineWriter:
    """An eliot destination that prints messages as lines; lines that it drops are only counted."""

    def __init__(self) -> None:
        self.second, self.lines, self.dropped = 0, 0, 0
        self.room = select.poll()
        self.descriptor = -1
        if sys.stdout is not None:  # None where the process was started with its output closed
            self.descriptor = sys.stdout.fileno()
            self.room.register(self.descriptor, select.POLLOUT)

    def __call__(self, message: dict[str, object]) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped and self.write(f"log: {self.dropped} lines were dropped"):
                self.dropped = 0
            self.second, self.lines = second, 0
        self.lines += 1
        text = message.get("says")
        if text is None and "exception" in message:
            text = f"{message['exception']}: {message.get('reason')}"
        if self.lines > MAX_LINES_PER_S or not self.write(f"{message.get('message_type')}: {text}"):
            self.dropped += 1

    def write(self, line: str) -> bool:
        """Write a line without waiting; return whether there was room for it.

        Not by `print`: what that cannot write stays in its buffer, and fails once more as the process ends.
        """
        if not self.room.poll(0):
            return False
        try:
            os.write(self.descriptor, f"{line[:MAX_LINE_CHARS]}\n".encode(errors="backslashreplace"))
        except OSError:  # the disk is full, or nobody reads the pipe any more
            return False
        return True


def start() -> None:
    """Send this process's log to standard output."""
    add_destinations(LineWriter())


class Log:
    """The log of one component."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def info(self, sentence: str) -> None:
        """Log one sentence."""
        log_message(message_type=self.prefix, says=sentence)


def fail(error: object) -> int:
    """Print an error as one line on standard error; return the exit code for an unusable configuration."""
    print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr, flush=True)
    return 2
