"""The files of days; a drawn day is played against real processes, recorded and checked again."""

from __future__ import annotations

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from ivymux.simulation import day_file
from ivymux.simulation.day_file import BackendRun, ClientAnswer, ClientDisconnect, ClientRequest, DayError
from ivymux.simulation.replay import main


def test_a_drawn_day_depends_on_its_seed_only_and_survives_writing_and_reading() -> None:
    day, events = day_file.draw(7, 5.0)
    assert (day, events) == day_file.draw(7, 5.0) != day_file.draw(8, 5.0)
    assert day_file.read(day_file.write([day, *events])) == (day, events, [])


INVALID_FILES = {
    "nothing": b"",
    "no day first": b'{"is":"start","at":1,"machine":"core-0"}',
    "another form": b'{"is":"day","v":9,"seed":1}',
    "two days": b'{"is":"day","v":1,"seed":1}\n{"is":"day","v":1,"seed":2}',
    "one byte short": b'{"is":"day","v":1,"seed":1}\n{"is":"start","at":1,"machine":"core-0"',
    "no such event": b'{"is":"day","v":1,"seed":1}\n{"is":"flood","at":1}',
    "no such field": b'{"is":"day","v":1,"seed":1}\n{"is":"start","at":1,"machine":"core-0","x":1}',
    "no such machine": b'{"is":"day","v":1,"seed":1}\n{"is":"start","at":1,"machine":"core-9"}',
    "no such backend": b'{"is":"day","v":1,"seed":1}\n{"is":"leave","at":1,"backend":"desk-5"}',
    "no such door": b'{"is":"day","v":1,"seed":1}\n{"is":"ask","at":1,"id":"a","door":2,"path":"/read/1"}',
    "before it begins": b'{"is":"day","v":1,"seed":1}\n{"is":"start","at":-1,"machine":"core-0"}',
    "too long a line": b'{"is":"day","v":1,"seed":1}' + b" " * (1 << 16),
}


def test_errors_in_a_day_file_name_the_place_and_the_remedy(snapshot: SnapshotAssertion) -> None:
    errors = {}
    for name, data in INVALID_FILES.items():
        with pytest.raises(DayError) as error:
            day_file.read(data)
        errors[name] = str(error.value)
    assert errors == snapshot


def test_a_day_is_played_recorded_and_checked_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    drawn, record = str(tmp_path / "day.jsonl"), tmp_path / "record.jsonl"
    assert main(["--make", drawn, "--seed", "5", "--seconds", "5", "--rate", "30"]) == 0
    assert main([drawn, "--record", str(record)]) == 0, capsys.readouterr().out
    day, events, observations = day_file.read(record.read_bytes())
    runs = [line for line in observations if isinstance(line, BackendRun) and line.done]
    assert len(runs) > 30
    assert main(["--check", str(record)]) == 0
    # The same record with a second run of one action: the check reports it.
    action = next(run for run in runs if run.target.startswith("/sign/"))
    record.write_bytes(day_file.write([day, *events, *observations, action]))
    capsys.readouterr()
    assert main(["--check", str(record)]) == 1
    assert f"broken: TWICE {action.id}: ran 2 times" in capsys.readouterr().out
    # Each request ends either with an answer or with its client's disconnect.  Only clients that are drawn to
    # disconnect may do so; on a slow machine they disconnect before even a fast answer arrives.
    requests = {event.id: event for event in events if isinstance(event, ClientRequest)}
    answered = {line.id for line in observations if isinstance(line, ClientAnswer)}
    disconnected = {line.id for line in observations if isinstance(line, ClientDisconnect)}
    assert answered.isdisjoint(disconnected)
    assert answered | disconnected == set(requests)
    assert all(requests[id].leaves > 0 for id in disconnected)


def test_wrong_usage_and_unreadable_files_end_with_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(tmp_path / "none.jsonl")]) == 2
    assert main([]) == 2
    assert main(["--rate", "many", "x"]) == 2
    assert capsys.readouterr().err.count("\n") == 3
