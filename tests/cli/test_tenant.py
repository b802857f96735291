"""The commands for a hosted installation, against `ivymux host` and `ivymux admin` as processes."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from ivymux.cli import main
from standins.etcd import etcd_server
from tests.admin.api_client import ROUTES, SHEET
from tests.routes.describing import described
from tests.service.fixtures import PATHS


def free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@pytest.fixture(params=["sqlite", "etcd"])
def state(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[str]:
    """Yield the settings of a desired state in SQLite or etcd."""
    if request.param == "sqlite":
        yield 'store = "desired.db"\n'
        return
    (tmp_path / "password").write_text("s3cret-word\n")
    with etcd_server(users={"mux": "s3cret-word"}) as server:
        yield (
            f'[etcd]\nendpoints = ["{server.endpoint_url}"]\nusername = "mux"\npassword_file = "password"\n'
        )


@pytest.fixture
def installation(
    state: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> Iterator[int]:
    """Run `ivymux host` and `ivymux admin` as processes; yield the port of the gateway."""
    file, port = tmp_path / "hosting.toml", free_port()
    file.write_text(f'listen = "127.0.0.1:0"\nadmin = "127.0.0.1:{port}"\nfollow = 0.02\n{state}')
    assert main(["operator", str(file), "olga"]) == 0
    monkeypatch.setenv("IVYMUX_ADMIN_KEY", capsys.readouterr().out.strip())
    monkeypatch.setenv("IVYMUX_ADMIN", f"http://127.0.0.1:{port}")
    run = [sys.executable, "-m", "ivymux"]
    gateway = subprocess.Popen([*run, "host", str(file)], stderr=subprocess.PIPE)
    admin = subprocess.Popen([*run, "admin", str(file)])
    try:
        assert gateway.stderr is not None
        found = None
        while found is None:
            line = gateway.stderr.readline()
            assert line
            found = re.search(rb"serving on \S+:(\d+)", line)
        end = time.monotonic() + 20
        while True:
            try:
                urllib.request.urlopen(f"http://127.0.0.1:{port}/v1/openapi.json").read()
                break
            except OSError:
                assert time.monotonic() < end and admin.poll() is None
                time.sleep(0.05)
        yield int(found[1])
    finally:
        for process in (gateway, admin):
            process.send_signal(signal.SIGTERM)
        for process in (gateway, admin):
            assert process.wait(20) in (0, -signal.SIGTERM)


def test_a_tenant_by_commands(installation: int, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def ivymux(*words: str) -> tuple[int, str, str]:
        code = main(["tenant", *words])
        out, err = capsys.readouterr()
        return code, out, err

    assert ivymux("create", "a", "--host", "a.example")[0] == 0
    assert ivymux("set", "a", "plans.p.rate=10", "plans.p.burst=10", "customers.c.plan=p")[0] == 0
    (tmp_path / "api.json").write_text(json.dumps(described(PATHS)))
    (tmp_path / "w.csv").write_text(SHEET)
    assert ivymux("routes", "a", str(tmp_path / "api.json"))[0] == 0
    assert ivymux("inventory", "a", str(tmp_path / "w.csv"), "--dry-run")[0] == 0
    assert ivymux("inventory", "a", str(tmp_path / "w.csv"))[0] == 0
    code, out, _ = ivymux("add-key", "a", "c", "--json")
    key = json.loads(out)
    assert code == 0 and key["key"].startswith("iv_")
    assert key["id"] in ivymux("keys", "a")[1]
    # The state is in effect: the gateway accepts the key, and answers with an error as no worker listens.
    http_request = urllib.request.Request(
        f"http://127.0.0.1:{installation}/read/7", headers={"Host": "a.example", "X-API-Key": key["key"]}
    )
    with pytest.raises(urllib.error.HTTPError) as error:
        urllib.request.urlopen(http_request, timeout=20)
    assert error.value.code in (502, 503, 504)
    code, out, _ = ivymux("list")
    assert code == 0 and out.splitlines()[0].split() == ["name", "hosts", "etag"] and "a.example" in out
    assert json.loads(ivymux("show", "a", "--json")[1])["plans"]["p"]["rate"] == 10.0
    code, _, err = ivymux("set", "a", "plans.p.rate=-1")
    assert code == 1 and "/plans/p/rate" in err
    assert ivymux("set", "a", "nothing")[0] == 2
    (tmp_path / "bad.csv").write_text("name,address\nw,10.0.0.1:0\n")
    code, _, err = ivymux("inventory", "a", str(tmp_path / "bad.csv"))
    assert code == 1 and "/text:2" in err
    assert "door" in ivymux("usage", "a")[1] and "make key" in ivymux("audit", "a")[1]
    assert ivymux("rotate-key", "a", key["id"], "--overlap", "0", "--json")[0] == 0
    assert ivymux("drop-key", "a", key["id"])[0] == 0
    assert "iv_" not in ivymux("keys", "a")[1] and ivymux("appoint", "a", "ann")[0] == 0
    assert ivymux("delete", "a", "--dry-run")[0] == 0 and ivymux("delete", "a")[0] == 0
    assert ivymux("show", "a")[0] == 1
    file = tmp_path / "hosting.toml"
    assert main(["backup", str(file), str(tmp_path / "copy.db")]) == 0
    text = file.read_text()
    if "[etcd]" in text:
        assert main(["restore", str(file), str(tmp_path / "copy.db")]) == 2  # the store is not empty
        assert "etcd.prefix" in capsys.readouterr().err
        file.write_text(text + 'prefix = "/another/"\n')
        assert main(["restore", str(file), str(tmp_path / "copy.db")]) == 0
        assert "switch to the restored state by themselves" in capsys.readouterr().out
        file.write_text(text)
    assert main(["backup", str(tmp_path / "none.toml"), "x"]) == 2
    assert ROUTES["main"] == "api.json"


def test_an_unreachable_api_is_reported_without_the_key(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("IVYMUX_ADMIN_KEY", "ivadm_secret")
    for address in ("", "ftp://x", f"http://127.0.0.1:{free_port()}"):
        monkeypatch.setenv("IVYMUX_ADMIN", address)
        assert main(["tenant", "list"]) == 2
        assert "ivadm_secret" not in capsys.readouterr().err
    monkeypatch.setenv("IVYMUX_ADMIN_KEY", "")
    assert main(["tenant", "list"]) == 2 and "ivymux operator" in capsys.readouterr().err
