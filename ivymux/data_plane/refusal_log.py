"""Tells a front door's refusals in its log: one line a minute at the most, none while nothing is refused."""

from __future__ import annotations

import asyncio
import logging

from ivymux.data_plane.refusals import LOG_INTERVAL_S, RefusalCounts

log = logging.getLogger(__name__)


class RefusalLog:
    """The refusals of one front door, by all its modules and by its own limits."""

    def __init__(self) -> None:
        self.refusals = RefusalCounts()
        self.timer: asyncio.TimerHandle | None = None  # only after a refusal: an idle front door has none

    def record(self, cause: str) -> None:
        if self.refusals.count(cause) and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self.write)

    def write(self) -> None:
        """Also at the end, for what came since the last line."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if line := self.refusals.log_line():
            log.info("%s", line)
