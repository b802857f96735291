"""The platform's build command: installs once, again after a changed pin, and again after a failure."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parent.parent / "deploy" / "balancer.toml"
# A fake interpreter: it creates an environment whose pip logs its arguments to the file `asked`.
FAKE_PYTHON = """#!/bin/sh
mkdir -p .venv/bin
printf '#!/bin/sh\\necho "$@" >> asked\\n! test -e broken\\n' > .venv/bin/pip
chmod +x .venv/bin/pip
"""


def test_a_changed_pin_is_installed_and_a_failed_build_is_repeated(tmp_path: Path) -> None:
    tools = tmp_path / "tools"
    tools.mkdir()
    (tools / "python3").write_text(FAKE_PYTHON)
    (tools / "python3").chmod(0o755)
    root = tmp_path / "root"
    root.mkdir()
    pins, pip_log = root / "pyproject.toml", root / "asked"
    pins.write_text("one")

    def build() -> tuple[int, int]:
        """Run the build command; return its exit code and the number of installations so far."""
        command = tomllib.loads(DEPLOY.read_text())["build"]
        process = subprocess.run(
            ["/bin/sh", "-c", command], cwd=root, env={"PATH": f"{tools}:/usr/bin:/bin"}, timeout=20
        )
        return process.returncode, len(pip_log.read_text().splitlines())

    assert [build(), build()] == [(0, 1), (0, 1)]
    pins.write_text("two")
    (root / "broken").touch()
    assert build() == (1, 2)
    (root / "broken").unlink()
    assert [build(), build()] == [(0, 3), (0, 3)]
    machine = root / ".venv" / "machine"
    assert machine.read_text()
    machine.write_text("another machine, or another Python\n")
    (root / ".venv" / "built").unlink()  # as `venv --clear` does, which the fake interpreter does not
    assert [build(), build()] == [(0, 4), (0, 4)]
    assert "another" not in machine.read_text()
