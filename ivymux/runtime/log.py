"""The log: short sentences with the part's prefix, by eliot, to standard output."""

from __future__ import annotations

import sys
import time

from eliot import add_destinations, log_message

MAX_A_SECOND = 20


class Said:
    """Writes messages of the log as lines; what comes too often is counted, not written."""

    def __init__(self) -> None:
        self.second, self.seen, self.left_out = 0, 0, 0

    def __call__(self, message: dict[str, object]) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.left_out:
                print(f"log: {self.left_out} lines were left out", flush=True)
            self.second, self.seen, self.left_out = second, 0, 0
        self.seen += 1
        if self.seen > MAX_A_SECOND:
            self.left_out += 1
            return
        text = message.get("says")
        if text is None and "exception" in message:
            text = f"{message['exception']}: {message.get('reason')}"
        print(f"{message.get('message_type')}: {text}", flush=True)


def start() -> None:
    add_destinations(Said())


class Log:
    """The log of one part of the system."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def say(self, sentence: str) -> None:
        log_message(message_type=self.prefix, says=sentence)


def fail(error: object) -> int:
    """One plain line, and the exit code for what cannot be served."""
    print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr, flush=True)
    return 2
