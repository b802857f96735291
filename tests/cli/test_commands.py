"""The commands as a user runs them: output, exit codes and one line on standard error for each error."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from ivymux.cli import main
from ivymux.service.callers import hash_key
from tests.routes.describing import described, operation
from tests.service.fixtures import KEY, PATHS, make_request, site_text
from tests.sockets import read_message, run
from tests.test_start import free_port


def write(folder: Path, document: object, name: str = "api.json") -> str:
    path = folder / name
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return str(path)


def environment() -> dict[str, str]:
    return {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}


def ivymux(*arguments: str, given: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ivymux", *arguments],
        input=given, capture_output=True, text=True, env=environment(), timeout=60,
    )  # fmt: skip


def test_help_version_and_usage() -> None:
    done = ivymux()
    assert done.returncode == 2 and "serve" in done.stderr and not done.stdout
    assert ivymux("--help").returncode == 0 and "Exit codes" in ivymux("--help").stdout
    assert re.fullmatch(r"ivymux \d+\.\d+\.\d+\n", ivymux("--version").stdout)
    for arguments in (["nonsense"], ["serve"], ["routes"], ["routes", "match"], ["check", "a", "b"]):
        assert ivymux(*arguments).returncode == 2


def test_a_former_role_name_is_answered_with_the_present_one() -> None:
    for former, name in (("switchboard", "proxy"), ("directory", "registry"), ("exchange", "config_store")):
        done = subprocess.run([sys.executable, "-m", "ivymux", former], capture_output=True, text=True)
        assert (done.returncode, done.stderr) == (2, f"ivymux: the role {former} is named {name} now\n")


def test_routes_check(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good = write(tmp_path, described(PATHS))
    assert main(["routes", "check", good]) == 0
    out = capsys.readouterr().out
    assert "api.json#/paths/~1write/post: note: POST declares no effect: treated as unsafe" in out
    assert "(2 safe, 1 keyed, 4 unsafe)" in out
    warned = write(tmp_path, described({"/a/{x}": {"get": operation()}, "/a/{y}": {"put": operation()}}))
    assert main(["routes", "check", warned]) == 0 and main(["routes", "check", warned, "--strict"]) == 1
    capsys.readouterr()
    bad = write(tmp_path, described({"/a": {"get": operation(x={"effect": "no"})}}))
    assert main(["routes", "check", bad, "--json"]) == 1
    report = json.loads(capsys.readouterr().out)
    assert report["error"] == 1 and report["findings"][0]["place"] == "/paths/~1a/get/x-ivymux/effect"
    assert main(["routes", "check", str(tmp_path / "gone.json")]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_routes_match(tmp_path: Path) -> None:
    file = write(tmp_path, described(PATHS))
    lines = "GET /read/7\nPOST /keyed\n\nDELETE /read/7\nGET /read/%2e%2e/x\nGET /none\nGET /slow?_method=x\n"
    done = ivymux("routes", "match", file, given=lines)
    assert done.returncode == 1
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    assert rows[0] == {
        "operation": "GET /read/{id}", "path": "/read/{id}", "class": "safe", "effect": "safe", "cost": 1.0,
        "aim": 2.0, "deadline": 10.0,
    }  # fmt: skip
    assert rows[1]["effect"] == "keyed" and [r["status"] for r in rows[2:]] == [405, 400, 404, 400]
    assert ivymux("routes", "match", file, given="GET /read/7\n").returncode == 0
    assert ivymux("routes", "match", str(tmp_path / "gone")).returncode == 2
    bad = write(tmp_path, "{", "bad.json")
    done = ivymux("routes", "match", bad)
    assert done.returncode == 1 and done.stderr.count("\n") == 1


def test_check_a_site(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    from standins.worker import Worker

    worker = Worker()
    worker.port = 9
    write(tmp_path, described({"/a": {"get": operation()}}))
    site = write(tmp_path, site_text([worker]), "site.toml")
    assert main(["check", site]) == 0
    assert "1 operations, 1 plans, 1 workers, 1 keys" in capsys.readouterr().out
    write(tmp_path, described({"/a": {"post": operation(x={"effect": "keyed"})}}))
    assert main(["check", site]) == 1 and "keyed.memory is 0" in capsys.readouterr().out
    write(tmp_path, "{")
    assert main(["check", site]) == 1
    (tmp_path / "api.json").unlink()
    assert main(["check", site]) == 2
    broken = write(tmp_path, "[plans", "site.toml")
    assert main(["check", broken]) == 2 and main(["check", str(tmp_path / "gone")]) == 2
    assert capsys.readouterr().err.count("\n") == 3


def test_a_key_is_shown_once_and_kept_as_a_hash() -> None:
    done = ivymux("key", "a group", "standard")
    key = done.stderr.split()[-1]
    assert done.returncode == 0 and key.startswith("iv_") and len(key) > 40
    assert key not in done.stdout and hash_key(key.encode()) in done.stdout
    assert 'customer = "a group"' in done.stdout and 'plan = "standard"' in done.stdout


async def until_listening(port: int, process: asyncio.subprocess.Process) -> None:
    while process.returncode is None:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.02)
    raise AssertionError("the process ended before it listened")


def test_serve_reads_again_on_sighup_and_ends_on_sigterm(tmp_path: Path) -> None:
    from standins.worker import Worker

    async def test() -> None:
        worker = await Worker().start()
        port = free_port()
        write(tmp_path, described(PATHS))
        text = site_text([worker], description="watch = 0").replace("127.0.0.1:0", f"127.0.0.1:{port}")
        site = write(tmp_path, text, "site.toml")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux", "serve", site,
            env=environment(), stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        try:
            await until_listening(port, process)

            async def status(line: str) -> int:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(make_request(line))
                got = (await read_message(reader)).status
                writer.close()
                return got

            assert await status("GET /read/7") == 200 and await status("GET /new") == 404
            write(tmp_path, described({"/new": {"get": operation()}}))
            process.send_signal(signal.SIGHUP)
            while await status("GET /new") != 200:
                await asyncio.sleep(0.02)
            write(tmp_path, "{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while "stays as it was" not in (line := (await process.stderr.readline()).decode()):
                assert line
            assert await status("GET /new") == 200
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            rest = (await process.stderr.read()).decode()
            assert KEY not in rest and "Traceback" not in rest
        finally:
            if process.returncode is None:
                process.kill()
            worker.stop()

    run(test())


def test_serve_reports_a_failed_start_in_one_line(tmp_path: Path) -> None:
    from standins.worker import Worker

    worker = Worker()
    worker.port = 9
    site = write(tmp_path, site_text([worker]), "site.toml")
    for document, expected in (
        ("{", "api.json"),
        (described({"/a": {"get": {}}}), "api.json#/paths/~1a/get"),
    ):
        write(tmp_path, document)
        done = ivymux("serve", site)
        lines = [line for line in done.stderr.splitlines() if line.startswith("ivymux: ")]
        assert done.returncode == 2 and len(lines) == 1 and expected in lines[0]
    assert ivymux("serve", str(tmp_path / "gone.toml")).returncode == 2


def test_the_requests_that_the_demo_prints_work() -> None:
    async def test() -> None:
        port = free_port()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux", "demo", "--listen", f"127.0.0.1:{port}", "--seconds", "15",
            env=environment(), stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stdout is not None
        text = ""
        while "Ctrl-C" not in text:
            line = await process.stdout.readline()
            assert line
            text += line.decode()
        curls = re.findall(r"curl -i -H '([^']*)'( -X \w+)?( -d '[^']*')? '?http://[^/]*([^\s']*)", text)
        assert len(curls) == 3
        got = []
        for header, method, body, target in curls:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            content = body[5:-1].encode() if body else b""
            key = header.partition(": ")[2]
            writer.write(make_request(f"{method[4:] or 'GET'} {target}", content, key))
            got.append((await read_message(reader)).status)
            writer.close()
        assert got == [200, 200, 405]
        process.terminate()
        assert await process.wait() == 0

    run(test())
