"""Logs a gateway's refusals: at most one line in `LOG_INTERVAL_S`, none while nothing is refused."""

from __future__ import annotations

import asyncio
import logging

from ivymux.data_plane.refusals import LOG_INTERVAL_S, RefusalCounts

log = logging.getLogger(__name__)


class RefusalLog:
    """The refusals of one gateway by all its decision modules and by its own limits."""

    def __init__(self) -> None:
        self.refusals = RefusalCounts()
        self.timer: asyncio.TimerHandle | None = None  # set from the first refusal to the next line

    def record(self, cause: str) -> None:
        """Count a refusal, and schedule the next line if none is due."""
        if self.refusals.count(cause) and self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self.write)

    def write(self) -> None:
        """Log the refusals since the last line; also called when the process ends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if line := self.refusals.log_line():
            log.info("%s", line)
