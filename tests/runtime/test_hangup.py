"""SIGHUP while a program starts."""

from __future__ import annotations

import ast
import tomllib

import pytest

from ivymux.simulation.local_cluster import ROOT

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
