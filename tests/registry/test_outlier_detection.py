"""Backends that fail while they call in good order: whose word counts, how much of a service, how long."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ivymux.proxy.failure_reports import Doubts, doubtful
from ivymux.registry.outlier_detection import FIRST, LEAST, MOST, PART, Grey
from ivymux.registry.program import Registry
from ivymux.runtime.settings import load
from ivymux.simulation.local_cluster import Lab
from ivymux.transport.connection import Connection
from ivymux.transport.frames import FrameDecoder, Message
from orchidhill.interface import Outcome

from ..sockets import run, until

PEERS = [f"b{n}" for n in range(9)]


def heard(grey: Grey, door: str, now: float, backend: str = "b0", count: int = 1) -> float:
    return grey.hear(door, backend, count, 11, PEERS, now)


def test_one_doors_voice_shuts_nobody_out() -> None:
    grey = Grey()
    assert not any(heard(grey, "d1", at / 10) for at in range(100))
    assert heard(grey, "d2", 10.0) == FIRST  # a second one has met it


def test_failures_far_apart_do_not_add_up() -> None:
    grey = Grey()
    assert not any(heard(grey, f"d{n}", 1.5 * n) for n in range(20))
    assert [heard(grey, f"d{n}", 50 + n / 10) for n in range(LEAST)][-1] == FIRST


def test_what_fails_again_is_left_alone_longer_and_a_while_later_as_at_first() -> None:
    grey, now, spans = Grey(), 0.0, []
    for _ in range(4):
        spans.append([heard(grey, f"d{n}", now) for n in range(LEAST)][-1])
        assert not heard(grey, "d9", now + 0.1)  # it is left alone already
        now += spans[-1] + 0.5
    assert spans == [FIRST, 2 * FIRST, MOST, MOST]
    assert [heard(grey, f"d{n}", now + 60) for n in range(LEAST)][-1] == FIRST


def test_no_more_than_a_part_of_a_service_is_shut_out() -> None:
    grey = Grey()
    out = [b for b in PEERS if any(heard(grey, f"d{n}", 1.0, b) for n in range(LEAST))]
    assert len(out) == int(PART * len(PEERS))
    assert not any(heard(grey, f"d{n}", 1.5, "b8") for n in range(30))


def test_what_a_full_backend_says_does_not_tell_against_it() -> None:
    against = {(o, s) for o in Outcome for s in (0, 200, 404, 500, 502, 503, 504) if doubtful(o, s)}
    assert {(o, s) for o, s in against if o is not Outcome.CANCELLED} == {
        (Outcome.ERROR, 500), (Outcome.ERROR, 502),
    }  # fmt: skip


def test_a_door_at_which_most_goes_wrong_keeps_its_doubts() -> None:
    async def test() -> None:
        well, said = [0], list[Message]()
        doubts = Doubts(lambda: well[0], lambda backend: f"b{backend}", said.append)
        doubts.sample()
        for _ in range(3):
            doubts.doubt(1)
        await until(lambda: doubts.timer is None)
        assert not said
        well[0] = 5
        doubts.doubt(1)
        doubts.doubt(1)
        await until(lambda: doubts.timer is None)
        assert said == [{"k": "doubt", "l": [["b1", 2]]}]

    asyncio.run(test())


class Heard(Connection):
    """A connection that keeps what is written to it."""

    told: list[Message]

    def write(self, data: bytes) -> None:
        self.told.extend(m for m in FrameDecoder().feed(data) if m["k"] == "shun")


def test_a_registry_tells_all_doors_of_a_backend_that_several_met(tmp_path: Path) -> None:
    async def test() -> None:
        lab = Lab(tmp_path)
        registry = Registry(load(lab.settings(lab.cores[0], True)))
        lines = []
        for number in range(3):
            line = Heard(registry.heard, on_disconnect=registry.lost)
            line.is_connected, line.told = True, []
            registry.welcome(
                line, {"id": f"d{number}", "ip": "127.0.0.8", "port": 1, "zone": "hall", "run": "", "n": 0}
            )
            lines.append(line)
        for number in range(4):
            body = {"service_name": "desk", "address": f"10.0.0.{number}:80", "zone_name": "hall",
                    "capacity": 2, "oper_state": "in_service", "call_seq": 1}  # fmt: skip
            registry.backends.heartbeat(f"i-{number}", body, 0.0)
        for line in lines[:2]:
            registry.heard(line, {"k": "doubt", "l": [["i-0", 2], ["none", 1]]})
        assert [line.told for line in lines] == [[{"k": "shun", "id": "i-0", "for": FIRST}]] * 3
        registry.heard(lines[0], {"k": "doubt", "l": [["i-0", 0]]})
        assert not lines[0].is_connected and registry.spoilt == 1
        await registry.stop()
        await lab.close()

    run(test())
