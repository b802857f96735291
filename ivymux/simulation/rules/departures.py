"""Rules on backends, clients and proxies that leave: DRAIN, GONE, and LOST for requests.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ivymux.simulation.day_file import BackendQuiesced, ClientAnswer, ClientRequest, RunEnd, StartMachine
from ivymux.simulation.rules.history import QUIET_PERIOD_S, Breach, History, is_repeatable

DRAIN_BOUND_S = 2.5  # after its acknowledgement, a quiescing backend receives no more requests
READY_BOUND_S = 4.0  # after SIGTERM, a proxy is no longer ready
ABANDON_BOUND_S = 0.5  # after a client's disconnect, work for it has ended
LATE_RUNS_ALLOWANCE = 3  # requests that may reach a backend after that bound
CONTINUED_SHARE = 0.25  # share that may continue, of the runs that would last beyond that bound
LAST_PART_OF_GRACE = 1 / 6  # in which a stopping proxy may end what is still at work
UNANSWERED_ALLOWANCE = 3  # requests that may end without an answer although no proxy was ended
OWN_FAILURES = (500, 502, 503, 504)  # of a proxy, where they have no backend's seal
ROUTE_DEADLINE_S = 2.0  # of the cluster's configuration
DEADLINE_MARGIN_S = 0.1  # before it, within which proxies give attempts up


def check_drained_backends(history: History) -> Iterable[Breach]:
    """DRAIN: a backend received a request too long after its quiescing was acknowledged."""
    quiesced = {
        record.backend: record.at for record in history.observations if isinstance(record, BackendQuiesced)
    }
    for id, run in history.all_runs():
        late_by = run.at - quiesced.get(run.backend, run.at)
        if run.done and late_by > DRAIN_BOUND_S and history.is_quiet(run.at):
            yield Breach(
                "DRAIN", id, f"reached {run.backend} {late_by:.1f} s after its quiescing was acknowledged"
            )


def check_readiness(history: History) -> Iterable[Breach]:
    """DRAIN: a proxy still reports that it is ready too long after SIGTERM."""
    for kill in history.kills:
        kind, _, number = kill.machine.partition("-")
        if kind != "door" or kill.how != "term":
            continue
        starts = [start.at for start in history.starts if start.machine == kill.machine]
        next_start = min((at for at in starts if at > kill.at), default=None)
        limit = kill.at + READY_BOUND_S
        if next_start is not None and next_start <= limit:
            continue
        changes = [change for change in history.readiness.get(int(number), ()) if change.at <= limit]
        if changes and changes[-1].ready:
            yield Breach("DRAIN", kill.machine, f"still ready {READY_BOUND_S} s after SIGTERM")


def check_abandoned_work(history: History) -> Iterable[Breach]:
    """GONE: work for disconnected clients was started or continued too long after the disconnect."""
    late, long_runs, continued = [], 0, []
    for id, disconnected_at in history.disconnects.items():
        request = history.requests.get(id)
        bound = disconnected_at + ABANDON_BOUND_S
        if request is None or not history.is_quiet(disconnected_at, bound):
            continue
        for run in history.runs.get(id, ()):
            if run.at > bound:
                late.append(id)
            elif is_repeatable(request) and (planned_end := run.at + run.work) > bound:
                long_runs += 1
                if history.run_end_time(run) > min(planned_end, bound):
                    continued.append(id)
    if len(late) > LATE_RUNS_ALLOWANCE:
        yield Breach(
            "GONE", late[0], f"{len(late)} requests reached a backend after their clients disconnected"
        )
    if len(continued) > CONTINUED_SHARE * long_runs:
        text = f"{len(continued)} of {long_runs} runs went on after their clients disconnected"
        yield Breach("GONE", continued[0], text)


def check_lost_requests(history: History) -> Iterable[Breach]:
    """LOST: the connection of a forwarded request closed without an answer before its deadline."""
    unanswered = []
    for id, answer in history.answers.items():
        request = history.requests.get(id)
        runs = history.runs.get(id, ())
        if request is None or answer.status or not runs or answer.at - answer.sent >= request.waits:
            continue
        is_draining = is_during_drain(history, request, answer)
        if is_draining and not is_disturbed(history, answer):
            yield Breach("LOST", id, "a proxy that was draining closed its connection without an answer")
        elif not is_draining and history.is_quiet(answer.sent, answer.at):
            unanswered.append(id)
    if len(unanswered) > UNANSWERED_ALLOWANCE:
        text = f"{len(unanswered)} forwarded requests got no answer"
        yield Breach("LOST", unanswered[0], text)


def check_replaced_answers(history: History) -> Iterable[Breach]:
    """LOST: a draining proxy broke off a request at its backend, and answered with a failure of its own."""
    for id, answer in history.answers.items():
        request = history.requests.get(id)
        if request is None or answer.status not in OWN_FAILURES or answer.seal:
            continue
        deadline = answer.sent + min(request.waits, ROUTE_DEADLINE_S) - DEADLINE_MARGIN_S
        broken_off = [
            end for run in history.runs.get(id, ()) for end in history.run_ends.get((id, run.backend), ())
            if not end.whole and end.at < deadline and not is_forced_end(history, request, end)
            and not history.crashed_during(run, request.waits)
        ]  # fmt: skip
        if not broken_off or id in history.disconnects or history.has_stall(answer.sent, answer.at):
            continue
        if is_during_drain(history, request, answer) and not is_disturbed(history, answer):
            text = f"a proxy that was draining broke off its run and answered {answer.status}"
            yield Breach("LOST", id, text)


def is_during_drain(history: History, request: ClientRequest, answer: ClientAnswer) -> bool:
    """Whether the proxy that took a request was draining when the request ended."""
    return any(at <= answer.at <= at + history.day.grace + 1 for at in drain_times(history, request))


def is_forced_end(history: History, request: ClientRequest, end: RunEnd) -> bool:
    """Whether a run was at work until the stop of its proxy was nearly over."""
    latest_s = history.day.grace * (1 - LAST_PART_OF_GRACE)
    return any(at + latest_s <= end.at <= at + history.day.grace + 1 for at in drain_times(history, request))


def drain_times(history: History, request: ClientRequest) -> list[float]:
    """Return when the proxy that took a request was asked to end."""
    machine = f"door-{request.door}"
    return [kill.at for kill in history.kills if kill.machine == machine and kill.how == "term"]


def is_disturbed(history: History, answer: ClientAnswer) -> bool:
    """Whether a machine was killed, started after that, or frozen shortly before or during a request."""
    faults = [kill.at for kill in history.kills if kill.how != "term"]
    faults += [start.at for start in history.starts if not is_planned(history, start)]
    is_near_fault = any(answer.sent - QUIET_PERIOD_S <= at <= answer.at for at in faults)
    return is_near_fault or history.is_frozen(answer.sent, answer.at)


def is_planned(history: History, start: StartMachine) -> bool:
    """Whether a machine starts after it was asked to end, as opposed to after a kill."""
    earlier = [kill for kill in history.kills if kill.machine == start.machine and kill.at <= start.at]
    return bool(earlier) and max(earlier, key=lambda kill: kill.at).how == "term"
