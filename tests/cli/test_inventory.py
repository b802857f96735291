"""The inventory's commands."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ivymux.cli import main
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.keeper import Keeper
from tests.inventory import damage
from tests.routes.describing import described, operation
from tests.service.doors import site_text


def test_check_show_and_diff(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    sheet, tree, bad = tmp_path / "w.csv", tmp_path / "w.yml", tmp_path / "bad.csv"
    sheet.write_text(damage.SHEET)
    tree.write_text(damage.YAML)
    bad.write_text(damage.SHEET.replace("20003", "0"))
    assert main(["inventory", "check", str(sheet)]) == 0
    assert "12 workers; 0 errors" in capsys.readouterr().out
    assert main(["inventory", "check", str(bad), "--json"]) == 1
    (finding,) = json.loads(capsys.readouterr().out)["findings"]
    assert (finding["line"], finding["column"]) == (5, 3)
    assert main(["inventory", "check", str(tmp_path / "gone")]) == 2
    capsys.readouterr()
    assert main(["inventory", "show", str(tree)]) == 0
    shown = capsys.readouterr().out
    assert main(["inventory", "show", str(sheet)]) == 0 and capsys.readouterr().out == shown
    assert main(["inventory", "diff", str(sheet), str(tree)]) == 0
    half = tmp_path / "half.csv"
    half.write_text("\n".join([damage.HEADER, *damage.ROWS[:6], "# end 6"]) + "\n")
    assert main(["inventory", "diff", str(sheet), str(half)]) == 1
    out = capsys.readouterr().out
    assert "6 removed" in out and "held back: 6 of 12 workers" in out


def test_history_confirm_and_rollback_ask_the_door_that_runs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    site = tmp_path / "site.toml"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\nstate = "state"\n')
    keeper = Keeper(tmp_path / "state")
    keeper.keep(Snapshot(1, 0.0, "w.csv", "d", "started", Inventory((Worker("w", "10.0.0.1", 1),))))
    assert main(["inventory", "history", str(site)]) == 0
    assert "1970-01-01 00:00:00Z       1 workers  started" in capsys.readouterr().out
    assert main(["inventory", "rollback", str(site), "2"]) == 2
    assert main(["inventory", "rollback", str(site), "1"]) == 0 and keeper.asked("rollback") == "1"
    assert main(["inventory", "confirm", str(site), "abc"]) == 0 and keeper.asked("confirm") == "abc"
    assert keeper.asked("confirm") is None
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\n')
    assert main(["inventory", "history", str(site)]) == 2


def test_check_of_a_site_looks_at_its_inventory(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "api.json").write_text(json.dumps(described({"/a": {"get": operation()}})))
    site = tmp_path / "site.toml"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\n')
    assert main(["check", str(site)]) == 2
    (tmp_path / "w.csv").write_text(damage.SHEET)
    assert main(["check", str(site)]) == 0 and "12 workers" in capsys.readouterr().out
    (tmp_path / "w.csv").write_text("name,address\n")
    assert main(["check", str(site)]) == 1
