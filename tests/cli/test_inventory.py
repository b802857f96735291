"""The commands of `ivymux inventory`."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from ivymux.cli import main
from ivymux.inventory.model import Inventory, Worker
from ivymux.inventory.snapshot import Snapshot
from ivymux.membership.snapshot_store import SnapshotStore
from ivymux.service.standalone import open_standalone
from tests.inventory import damage
from tests.routes.describing import described, operation
from tests.service.fixtures import site_text
from tests.sockets import run, until


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


def test_history_confirm_and_rollback_write_commands_for_the_running_gateway(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    site = tmp_path / "site.toml"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\nstate = "state"\n')
    store = SnapshotStore(tmp_path / "state")
    store.save(Snapshot(1, 0.0, "w.csv", "d", "started", Inventory((Worker("w", "10.0.0.1", 1),))))
    assert main(["inventory", "history", str(site)]) == 0
    assert "1970-01-01 00:00:00Z       1 workers  started" in capsys.readouterr().out
    assert main(["inventory", "rollback", str(site), "2"]) == 2
    assert main(["inventory", "rollback", str(site), "1"]) == 0 and store.take_command("rollback") == "1"
    assert main(["inventory", "confirm", str(site), "abc"]) == 0 and store.take_command("confirm") == "abc"
    assert store.take_command("confirm") is None
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\n')
    assert main(["inventory", "history", str(site)]) == 2


def test_check_of_a_site_checks_its_inventory(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "api.json").write_text(json.dumps(described({"/a": {"get": operation()}})))
    site = tmp_path / "site.toml"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\n')
    assert main(["check", str(site)]) == 2
    (tmp_path / "w.csv").write_text(damage.SHEET)
    assert main(["check", str(site)]) == 0 and "12 workers" in capsys.readouterr().out
    (tmp_path / "w.csv").write_text("name,address\n")
    assert main(["check", str(site)]) == 1


def test_check_of_several_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "a.csv").write_text(damage.SHEET)
    (tmp_path / "b.csv").write_text(damage.SHEET.replace("20003", "0"))
    assert main(["inventory", "check", str(tmp_path / "a.csv"), str(tmp_path / "b.csv"), "--json"]) == 1
    report = json.loads(capsys.readouterr().out)
    assert report["workers"] == 12 and [f["file"] for f in report["findings"]] == ["b.csv"]


def test_convert_there_and_back(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    sheet, tree, again = tmp_path / "w.csv", tmp_path / "w.yml", tmp_path / "again.csv"
    sheet.write_text(damage.SHEET)
    assert main(["inventory", "convert", str(sheet), str(tree)]) == 0
    assert main(["inventory", "convert", str(tree), str(again)]) == 0
    assert main(["inventory", "diff", str(sheet), str(again)]) == 0
    assert capsys.readouterr().out.endswith("no change\n")
    assert main(["inventory", "convert", str(tree), str(sheet)]) == 2
    assert "already exists" in capsys.readouterr().err and sheet.read_text() == damage.SHEET
    assert main(["inventory", "convert", str(tree), str(sheet), "--force"]) == 0
    sheet.write_text(damage.SHEET.replace("20003", "0"))
    before = tree.read_bytes()
    assert main(["inventory", "convert", str(sheet), str(tree), "--force"]) == 1
    assert tree.read_bytes() == before


def test_apply_checks_writes_atomically_and_waits_for_the_gateway(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "api.json").write_text(json.dumps(described({"/a": {"get": operation()}})))
    site, listed_file, new = tmp_path / "site.toml", tmp_path / "w.csv", tmp_path / "new.csv"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.csv"\nstate = "state"\nsettle = 0.0\n')
    listed_file.write_text(damage.SHEET)

    def sheet(count: int) -> str:
        return "\n".join([damage.HEADER, *damage.ROWS[:count], f"# end {count}"]) + "\n"

    async def ask(*more: str) -> tuple[int, str]:
        code = await asyncio.to_thread(main, ["inventory", "apply", str(site), str(new), *more])
        return code, capsys.readouterr().out

    async def test() -> None:
        gateway = await open_standalone(site)
        await gateway.start()
        try:
            new.write_text(damage.SHEET.replace("20003", "0"))
            assert (await ask())[0] == 1 and listed_file.read_text() == damage.SHEET
            new.write_text(sheet(11))
            code, out = await ask("--dry-run")
            assert code == 0 and "1 removed" in out and listed_file.read_text() == damage.SHEET
            code, out = await ask()
            assert code == 0 and "taken as list 2" in out
            await until(lambda: len(gateway.member_list.members) == 11)  # a list is stored, then applied
            new.write_text(sheet(4))
            code, out = await ask()
            assert code == 1 and "held back" in out and listed_file.read_text() == sheet(11)
            confirmation = out.rpartition("--confirm ")[2].strip()
            assert (await ask("--confirm", "0" * 24))[0] == 1 and len(gateway.member_list.members) == 11
            code, out = await ask("--confirm", confirmation)
            assert code == 0 and "taken as list 3" in out
            await until(lambda: len(gateway.member_list.members) == 4)
        finally:
            await gateway.close()
        # A list that no gateway takes is reported; it stays in the file for the gateway's next start.
        new_tree = tmp_path / "tree.yml"
        assert main(["inventory", "convert", str(listed_file), str(new_tree)]) == 0
        new_tree.write_text(new_tree.read_text().replace("weight: 1", "weight: 2"))
        code = main(["inventory", "apply", str(site), str(new_tree), "--wait", "0"])
        assert code == 3 and "not taken within 0 s" in capsys.readouterr().out
        assert listed_file.read_bytes().startswith(b"name,") and b",2," in listed_file.read_bytes()

    run(test())


def test_apply_refuses_a_list_that_variable_files_would_change(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    site, tree, new = tmp_path / "site.toml", tmp_path / "w.yml", tmp_path / "new.csv"
    site.write_text(site_text([]) + '\n[inventory]\nfile = "w.yml"\n')
    tree.write_text(damage.YAML)
    (tmp_path / "host_vars").mkdir()
    (tmp_path / "host_vars" / "w01.yml").write_text("weight: 7\n")
    new.write_text(damage.SHEET)
    assert main(["inventory", "apply", str(site), str(new)]) == 1
    assert "change them there" in capsys.readouterr().err and tree.read_text() == damage.YAML
    (tmp_path / "host_vars" / "w01.yml").unlink()
    assert main(["inventory", "apply", str(site), str(new), "--dry-run"]) == 0
    assert main(["inventory", "apply", str(site), str(new)]) == 0
    assert (
        "see the gateway's log for the result" in capsys.readouterr().out and tree.read_text() != damage.YAML
    )
