"""Many proxies in front of few backends spread their load, and share which backends fail."""

from __future__ import annotations

from ivymux.simulation.backend_selection import BackendSelectionSimulation, ServiceLoad
from ivymux.simulation.event_queue import START_TIME

PROXIES = 85


def services(is_repeatable: bool = True) -> list[ServiceLoad]:
    return [ServiceLoad(0.2, 120.0, 32, is_repeatable), ServiceLoad(0.5, 40.0, 32, is_repeatable)]


def test_proxies_that_start_together_spread_over_their_backends() -> None:
    simulation = BackendSelectionSimulation(PROXIES, services(), 1)
    simulation.run_until(12.0)
    # Of 144 requests to 64 backends in the first second.
    assert max(simulation.first_second_requests.values()) <= 10
    assert simulation.late_share(0.0, 3.0) <= simulation.late_share(3.0, 10.0) + 0.02
    assert simulation.retries <= 0.005 * simulation.requested  # no retries without failures


def test_a_backend_that_fails_at_several_proxies_is_ejected_by_all() -> None:
    failed = []
    for shares_failures in (False, True):
        simulation = BackendSelectionSimulation(PROXIES, services(is_repeatable=False), 2, shares_failures)
        for backend in simulation.backends[:2]:
            backend.fails_until = START_TIME + 8.0
        simulation.run_until(10.0)
        failed.append(simulation.failed)
    assert failed[1] * 2 < failed[0] and failed[0] > 40


def test_a_service_whose_backends_all_failed_is_used_again() -> None:
    simulation = BackendSelectionSimulation(11, services(), 3)
    for backend in simulation.backends:
        backend.fails_until = START_TIME + 3.0
    simulation.run_until(10.0)
    answered_later = [1 for started, _ in simulation.latencies if started > START_TIME + 5.0]
    assert simulation.late_share(5.0, 9.0) < 0.1 and len(answered_later) > 600
