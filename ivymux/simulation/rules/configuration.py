"""Rules on configurations: ROUTE, CONFIG, ACKS, and LOST for an acknowledged version.  Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ivymux.simulation.day_file import BackendQuiesced, BackendRun, ChangeAnswer, ConfigurationRead
from ivymux.simulation.rules.history import QUIET_PERIOD_S, Breach, History

APPLY_BOUND_S = 2.5  # after its acknowledgement, a version is applied by all proxies
REVERT_SLACK_S = 0.25  # requests on their way when a newer version's effect is first observed
CHANGE_ACK_BOUND_S = 5.0
QUIESCE_ACK_BOUND_S = 5.0


def check_routes(history: History) -> Iterable[Breach]:
    """Check which service each request reached.

    ROUTE: no configuration names the service for the route.  CONFIG: only superseded versions name it.
    """
    acknowledged = {change.version: change.at for change in acknowledged_changes(history)}
    for id, run in history.all_runs():
        if (request := history.requests.get(id)) is None:
            continue
        route = request.path.split("/")[1]
        services = [(change.version, change.routes.get(route)) for change in history.changes]
        if run.service not in {service for _, service in services}:
            yield Breach("ROUTE", id, f"{run.service} is named by no configuration for /{route}/")
            continue
        applied = [version for version, at in acknowledged.items() if request.at > at + APPLY_BOUND_S]
        newest = max(applied, default=-1)
        allowed = {service for version, service in services if version >= newest}
        if run.service not in allowed and history.is_quiet(request.at):
            text = f"ran at {run.service}, {APPLY_BOUND_S} s after version {newest} held"
            yield Breach("CONFIG", id, text)


def check_version_order(history: History) -> Iterable[Breach]:
    """CONFIG: a proxy returned to an older version in one incarnation, after a newer one took effect."""
    runs_by_proxy: dict[int, list[tuple[float, BackendRun]]] = defaultdict(list)
    for id, run in history.all_runs():
        if (request := history.requests.get(id)) is not None:
            runs_by_proxy[request.door].append((request.at, run))
    for proxy, sent_runs in runs_by_proxy.items():
        restarts = history.fault_times(f"door-{proxy}")
        newest, observed_at, incarnation = -1, 0.0, 0
        for sent_at, run in sorted(sent_runs, key=lambda pair: pair[1].at):
            if (current := sum(at <= sent_at for at in restarts)) != incarnation:
                incarnation, newest = current, -1
            route = run.target.split("/")[1]
            naming = [
                change.version
                for change in history.changes
                if change.routes.get(route) == run.service and change.at <= run.at
            ]
            not_older = [version for version in naming if version >= newest]
            if not not_older:
                if naming and sent_at > observed_at + REVERT_SLACK_S:
                    text = f"proxy {proxy} used a version before {newest}, which had taken effect"
                    yield Breach("CONFIG", run.id, text)
            elif min(not_older) > newest:
                newest, observed_at = min(not_older), run.at


def check_acknowledgements(history: History) -> Iterable[Breach]:
    """ACKS: a configuration change or a quiesce call was acknowledged too late without a fault."""
    for record in history.observations:
        if isinstance(record, ChangeAnswer) and record.status == 200:
            bound, name = CHANGE_ACK_BOUND_S, f"version {record.version}"
        elif isinstance(record, BackendQuiesced) and record.sent >= 0:
            bound, name = QUIESCE_ACK_BOUND_S, record.backend
        else:
            continue
        took_s = record.at - record.sent
        if took_s > bound and history.is_quiet(record.at - took_s, record.at - took_s + bound):
            text = f"acknowledged after {took_s:.1f} s, with no fault in the {QUIET_PERIOD_S} s before"
            yield Breach("ACKS", name, text)


def check_last_version(history: History) -> Iterable[Breach]:
    """Check what the operator reads at the end of the day.

    LOST: the version that was read is older than the newest acknowledged one.  CONFIG: nothing was read, or
    another text than the one sent under this version.
    """
    versions = [change.version for change in acknowledged_changes(history)]
    reads = (record for record in history.observations if isinstance(record, ConfigurationRead))
    read = next(reads, None)
    if not versions:
        return
    newest = max(versions)
    if read is None:
        yield Breach("CONFIG", f"version {newest}", "was not read at the end of the day")
    elif read.version < newest:
        yield Breach("LOST", f"version {newest}", f"was acknowledged, but version {read.version} was read")
    elif not read.same or read.version not in {change.version for change in history.changes}:
        yield Breach("CONFIG", f"version {read.version}", "was read with another text than it was sent with")


def acknowledged_changes(history: History) -> list[ChangeAnswer]:
    """Return the answers that acknowledged a change."""
    answers = [record for record in history.observations if isinstance(record, ChangeAnswer)]
    return [answer for answer in answers if answer.status == 200]
