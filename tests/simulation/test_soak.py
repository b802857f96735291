"""Soaks: what a plan holds, how processes that end by themselves are found, and one soak for CI."""

from __future__ import annotations

import itertools
import signal
from pathlib import Path

import pytest

from ivymux.simulation.answer_plan import ROOM_BYTES, draw_long_answers
from ivymux.simulation.day_file import (
    ClientAnswer,
    ClientRequest,
    ConfigurationChange,
    Day,
    FreezeMachine,
    KillMachine,
    Observation,
    ProcessEnd,
    ProcessUse,
    QuiesceBackend,
    ReloadMachine,
    StartMachine,
)
from ivymux.simulation.local_cluster import local_cluster
from ivymux.simulation.release_plan import MIN_CORE_REST_S, draw_releases
from ivymux.simulation.rules import check
from ivymux.simulation.soak import main
from ivymux.simulation.soak_plan import DISK_REPAIR_S, SoakSize, draw_soak
from ivymux.simulation.stop_plan import MAX_WORK_S, draw_stops

from ..sockets import run, until

CI_SEED, CI_SECONDS, CI_STOPS_SECONDS = "7", "60", "30"


def test_a_plan_depends_on_its_seed_only_and_has_troubles_that_overlap() -> None:
    size = SoakSize(seconds=120.0)
    assert draw_soak(3, size) == draw_soak(3, size) != draw_soak(4, size)
    _, events = draw_soak(3, size)
    kinds = {type(event) for event in events}
    assert {KillMachine, StartMachine, FreezeMachine, ReloadMachine} <= kinds
    stops = [e for e in events if isinstance(e, KillMachine) and e.how == "term"]
    starts = [e for e in events if isinstance(e, StartMachine)]
    # A proxy takes more than a second to stop; its successor starts meanwhile.
    overlaps = [
        1 for a, b in itertools.product(stops, starts) if a.machine == b.machine and 0 < b.at - a.at < 1
    ]
    assert len(overlaps) > 1


@pytest.mark.parametrize("seed", range(40))
def test_a_plan_never_takes_more_disks_than_may_be_lost(seed: int) -> None:
    _, events = draw_soak(seed, SoakSize(seconds=120.0))
    about_cores = [
        e for e in events if isinstance(e, KillMachine | StartMachine) and e.machine.startswith("core-")
    ]
    for wipe in about_cores:
        if isinstance(wipe, KillMachine) and wipe.how == "wipe":
            near = {e.machine for e in about_cores if abs(e.at - wipe.at) < DISK_REPAIR_S}
            assert near == {wipe.machine}


def test_a_process_that_ends_by_itself_is_found_and_one_that_is_stopped_is_not(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_cluster(tmp_path, core_count=1, proxy_count=1) as cluster:
            (core,), (proxy,) = cluster.core_ips, cluster.proxy_ips
            await cluster.start(core, initial_start=True)
            await cluster.start(proxy)
            await cluster.end(proxy, signal.SIGTERM)
            registry, _ = cluster.processes[core]
            cluster.monitor.send_signal(registry, signal.SIGSEGV)
            await until(lambda: cluster.monitor.ends)
            (end,) = cluster.monitor.ends
            assert (end.machine, end.role, end.code) == (core, "registry", -signal.SIGSEGV)

    run(test())


def breached_rules(observations: list[Observation], *events: KillMachine | StartMachine) -> set[str]:
    requests = [
        ClientRequest(o.sent, o.id, 0, "/read/1") for o in observations if isinstance(o, ClientAnswer)
    ]
    return {breach.rule for breach in check(Day(3, 1), [*requests, *events], observations)}


def test_ends_and_memory_beyond_the_limit_are_faults() -> None:
    assert breached_rules([ProcessUse(1.0, "door-0", "proxy", 299.0, 50)]) == set()
    assert breached_rules([ProcessUse(1.0, "door-0", "proxy", 301.0, 50)]) == {"FAULT"}
    assert breached_rules([ProcessEnd(1.0, "door-0", "proxy", 2)]) == {"FAULT"}


def test_a_system_that_serves_nothing_after_its_troubles_has_not_recovered() -> None:
    restart = KillMachine(1.0, "door-0"), StartMachine(2.0, "door-0")
    refused: list[Observation] = [ClientAnswer(18.1, 18.0, f"r{n}", 503) for n in range(40)]
    earlier: list[Observation] = [ClientAnswer(16.1, 16.0, f"r{n}", 503) for n in range(40)]
    assert "RECOVER" in breached_rules(refused, *restart)
    assert "RECOVER" not in breached_rules(earlier, *restart)


def test_a_plan_of_stops_has_planned_work_only_beside_slow_requests() -> None:
    size = SoakSize(seconds=60.0)
    assert draw_stops(3, size) == draw_stops(3, size) != draw_stops(4, size)
    _, events = draw_stops(3, size)
    stops = [event for event in events if isinstance(event, KillMachine)]
    assert {type(event) for event in events} == {
        ClientRequest, ConfigurationChange, KillMachine, ReloadMachine, StartMachine,
    }  # fmt: skip
    assert {stop.how for stop in stops} == {"term"} and len(stops) > 40
    assert sum(a.at < b.at < a.at + 2.5 for a, b in itertools.product(stops, stops)) > 40  # overlapping
    works_s = [event.work for event in events if isinstance(event, ClientRequest)]
    assert max(works_s) <= MAX_WORK_S and sum(work_s > 0.8 for work_s in works_s) > 0.02 * len(works_s)


@pytest.mark.parametrize("seed", range(20))
def test_a_plan_of_releases_stops_one_core_machine_at_a_time_and_keeps_backends(seed: int) -> None:
    size = SoakSize(seconds=120.0)
    _, events = draw_releases(seed, size)
    about_cores = [
        e for e in events if isinstance(e, KillMachine | StartMachine) and e.machine.startswith("core-")
    ]
    assert len(about_cores) > 10
    for stop, start in zip(about_cores[::2], about_cores[1::2], strict=True):
        assert isinstance(stop, KillMachine) and stop.how == "term"
        assert isinstance(start, StartMachine) and start.machine == stop.machine
    for start, stop in itertools.pairwise(about_cores[1:]):
        assert isinstance(start, KillMachine) or stop.at - start.at >= MIN_CORE_REST_S
    leaving = [event.backend for event in events if isinstance(event, QuiesceBackend)]
    assert len(set(leaving)) == len(leaving) <= 2 * (size.backends - 2)


@pytest.mark.parametrize("seed", range(10))
def test_a_plan_of_long_answers_has_bursts_at_one_proxy_and_some_that_fill_its_room(seed: int) -> None:
    _, events = draw_long_answers(seed, SoakSize(seconds=120.0))
    asked = [event for event in events if isinstance(event, ClientRequest) and event.answer]
    bursts = [list(burst) for _, burst in itertools.groupby(asked, key=lambda event: event.id.split("-")[0])]
    assert len(bursts) > 10
    for burst in bursts:
        assert len({(event.at, event.door, event.answer) for event in burst}) == 1
    assert any(ROOM_BYTES % burst[0].answer == 0 for burst in bursts)


def test_some_plans_of_releases_have_a_tenant_beyond_its_quota() -> None:
    size = SoakSize(seconds=60.0)
    rates = {draw_releases(seed, size)[0].rate for seed in range(20)}
    assert min(rates) < size.rate < max(rates)


@pytest.mark.alone
def test_a_soak_of_planned_stops_loses_no_request(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["--plan", "stops", "--seed", CI_SEED, "--seconds", CI_STOPS_SECONDS, "--report", "found"]
    assert main(arguments) == 0, capsys.readouterr().out


@pytest.mark.alone
def test_a_soak_breaks_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    code = main(["--seed", CI_SEED, "--seconds", CI_SECONDS, "--report", "found"])
    assert code == 0, capsys.readouterr().out  # the programs' log is in the folder `found`


def test_wrong_usage_of_soak_ends_with_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seconds", "1"]) == 2
    assert main(["day"]) == 2
    assert capsys.readouterr().err.count("\n") == 2
