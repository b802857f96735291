"""Ejection of backends that fail requests: how many proxies it takes, how much of a service, for how long."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ivymux.proxy.failure_reports import FailureReporter, indicates_backend_failure
from ivymux.registry.outlier_detection import (
    FIRST_EJECTION_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
    MIN_FAILURES,
    OutlierDetector,
)
from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import LocalCluster
from ivymux.transport.connection import Connection
from ivymux.transport.frames import FrameDecoder, Message
from orchidhill.interface import Outcome

from ..sockets import run, until

PEERS = [f"b{n}" for n in range(9)]


def report(
    detector: OutlierDetector, proxy: str, now: float, backend: str = "b0", failures: int = 1
) -> float:
    return detector.report(proxy, backend, failures, 11, PEERS, now)


def test_reports_of_one_proxy_eject_nothing() -> None:
    detector = OutlierDetector()
    assert not any(report(detector, "d1", at / 10) for at in range(100))
    assert report(detector, "d2", 10.0) == FIRST_EJECTION_S  # a second proxy reports it too


def test_failures_outside_the_window_do_not_add_up() -> None:
    detector = OutlierDetector()
    assert not any(report(detector, f"d{n}", 1.5 * n) for n in range(20))
    ejections = [report(detector, f"d{n}", 50 + n / 10) for n in range(MIN_FAILURES)]
    assert ejections[-1] == FIRST_EJECTION_S


def test_repeated_ejections_grow_longer_and_a_later_one_starts_anew() -> None:
    detector, now, ejections = OutlierDetector(), 0.0, []
    for _ in range(4):
        ejections.append([report(detector, f"d{n}", now) for n in range(MIN_FAILURES)][-1])
        assert not report(detector, "d9", now + 0.1)  # it is ejected already
        now += ejections[-1] + 0.5
    assert ejections == [FIRST_EJECTION_S, 2 * FIRST_EJECTION_S, MAX_EJECTION_S, MAX_EJECTION_S]
    assert [report(detector, f"d{n}", now + 60) for n in range(MIN_FAILURES)][-1] == FIRST_EJECTION_S


def test_only_a_part_of_a_service_is_ejected_at_once() -> None:
    detector = OutlierDetector()
    ejected = [b for b in PEERS if any(report(detector, f"d{n}", 1.0, b) for n in range(MIN_FAILURES))]
    assert len(ejected) == int(MAX_EJECTED_SHARE * len(PEERS))
    assert not any(report(detector, f"d{n}", 1.5, "b8") for n in range(30))


def test_answers_of_an_overloaded_backend_are_no_failures() -> None:
    counted = {
        (o, s) for o in Outcome for s in (0, 200, 404, 500, 502, 503, 504) if indicates_backend_failure(o, s)
    }
    assert {(o, s) for o, s in counted if o is not Outcome.CANCELLED} == {
        (Outcome.ERROR, 500), (Outcome.ERROR, 502),
    }  # fmt: skip


def test_a_proxy_at_which_most_requests_fail_reports_nothing() -> None:
    async def test() -> None:
        succeeded, sent = [0], list[Message]()
        reporter = FailureReporter(lambda: succeeded[0], lambda backend: f"b{backend}", sent.append)
        reporter.sample()
        for _ in range(3):
            reporter.on_failure(1)
        await until(lambda: reporter.timer is None)
        assert not sent
        succeeded[0] = 5
        reporter.on_failure(1)
        reporter.on_failure(1)
        await until(lambda: reporter.timer is None)
        assert sent == [{"k": "doubt", "l": [["b1", 2]]}]

    asyncio.run(test())


class RecordingConnection(Connection):
    """A connection that keeps the ejections written to it."""

    written: list[Message]

    def write(self, data: bytes) -> None:
        self.written.extend(m for m in FrameDecoder().feed(data) if m["k"] == "shun")


def test_a_registry_announces_an_ejection_to_all_proxies(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        registry = Registry(load(cluster.write_settings(cluster.core_ips[0], True)))
        connections = []
        for number in range(3):
            connection = RecordingConnection(registry.on_message, on_disconnect=registry.on_disconnect)
            connection.is_connected, connection.written = True, []
            registry.add_proxy(
                connection,
                {"id": f"d{number}", "ip": "127.0.0.8", "port": 1, "zone": "hall", "run": "", "n": 0},
            )
            connections.append(connection)
        for number in range(4):
            body = {"service_name": "desk", "address": f"10.0.0.{number}:80", "zone_name": "hall",
                    "capacity": 2, "oper_state": "in_service", "call_seq": 1}  # fmt: skip
            registry.backends.heartbeat(f"i-{number}", body, 0.0)
        for connection in connections[:2]:
            registry.on_message(connection, {"k": "doubt", "l": [["i-0", 2], ["none", 1]]})
        assert [connection.written for connection in connections] == [
            [{"k": "shun", "id": "i-0", "for": FIRST_EJECTION_S}]
        ] * 3
        registry.on_message(connections[0], {"k": "doubt", "l": [["i-0", 0]]})
        assert not connections[0].is_connected and registry.invalid_messages == 1
        await registry.stop()
        await cluster.close()

    run(test())
