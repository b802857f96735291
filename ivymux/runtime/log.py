"""The log: one sentence per line with the component's prefix, through eliot, to standard output."""

from __future__ import annotations

import sys
import time

from eliot import add_destinations, log_message

MAX_LINES_PER_S = 20


class LineWriter:
    """An eliot destination that prints messages as lines; lines over the rate limit are only counted."""

    def __init__(self) -> None:
        self.second, self.lines, self.dropped = 0, 0, 0

    def __call__(self, message: dict[str, object]) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                print(f"log: {self.dropped} lines were dropped by the rate limit", flush=True)
            self.second, self.lines, self.dropped = second, 0, 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_S:
            self.dropped += 1
            return
        text = message.get("says")
        if text is None and "exception" in message:
            text = f"{message['exception']}: {message.get('reason')}"
        print(f"{message.get('message_type')}: {text}", flush=True)


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
