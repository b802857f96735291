"""SIGHUP while a program starts."""

from __future__ import annotations

import ast
import asyncio
import contextlib
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from ivymux.simulation.local_cluster import ROOT, LocalCluster

from ..sockets import run

ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]


# Guards against SIGHUPs that end a program which has just started (issue 73).
@pytest.mark.parametrize("role", list(ROLES))
def test_a_program_ignores_sighup_before_it_imports_anything(role: str) -> None:
    program, *options, script, argument = ROLES[role]["run"].split(" ")
    assert (program, options, argument) == ("python3", ["-S"], role)
    statements = ast.parse((ROOT / script).read_text()).body
    assert ast.get_docstring(ast.Module(statements, [])) is not None
    assert [ast.unparse(statement) for statement in statements[1:3]] == [
        "import _signal",
        "_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)",
    ]


# Guards against SIGHUPs that end a process while its interpreter starts (issue 73).
def test_a_program_outlives_sighup_right_after_its_start(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = LocalCluster(tmp_path)
        path = cluster.write_settings(cluster.proxy_ips[0], True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "deploy/start.py", "proxy", "--settings", str(path), cwd=ROOT
        )
        process.send_signal(signal.SIGHUP)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), 1.0)
        ended = process.returncode
        if ended is None:
            process.kill()
            await process.wait()
        await cluster.close()
        assert ended is None or ended > 0  # it may lack its packages here, but no signal ended it

    run(test())
