"""Rules on the processes themselves: FAULT, and RECOVER after the last trouble.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.day_file import ProcessEnd, ProcessUse
from ivymux.simulation.rules.history import Breach, History

MAX_MEMORY_MB = 300.0  # `memory_mb` of the processes that replay starts
RECOVERY_S = 15.0  # after the last trouble, requests are served again
SERVED_SHARE = 0.25  # of the requests after that, and of those before for the rule to apply
MIN_REQUESTS = 20  # with fewer requests after that, the rule does not apply


def check_ends(history: History) -> Iterable[Breach]:
    """FAULT: a process ended without being asked to, or used more memory than it has."""
    for record in history.observations:
        if isinstance(record, ProcessEnd):
            yield Breach("FAULT", record.machine, f"{record.role} ended by itself with code {record.code}")
        elif isinstance(record, ProcessUse) and record.memory_mb > MAX_MEMORY_MB:
            yield Breach("FAULT", record.machine, f"{record.role} used {record.memory_mb} MB")


def check_recovery(history: History) -> Iterable[Breach]:
    """RECOVER: too few requests are served although the last trouble is long over."""
    troubles = [*history.fault_times(), *(freeze.at + freeze.seconds for freeze in history.freezes)]
    if not troubles:
        return
    recovered_at = max(troubles) + RECOVERY_S
    later = [
        answer
        for answer in history.answers.values()
        if answer.sent > recovered_at and not history.has_stall(answer.sent, answer.at)
    ]
    served = sum(200 <= answer.status < 300 for answer in later)
    if len(later) >= MIN_REQUESTS and served < SERVED_SHARE * len(later):
        text = f"{served} of {len(later)} served later than {RECOVERY_S} s after the last trouble"
        yield Breach("RECOVER", "requests", text)
