"""The platform's build: done once, again when a pin has changed, and never taken for done when it failed."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path

DEPLOY = Path(__file__).parent.parent / "deploy" / "balancer.toml"
# Stands in for an interpreter that makes an environment whose pip notes what it is asked for.
PYTHON = """#!/bin/sh
mkdir -p .venv/bin
printf '#!/bin/sh\\necho "$@" >> asked\\n! test -e broken\\n' > .venv/bin/pip
chmod +x .venv/bin/pip
"""


def test_a_changed_pin_is_installed_and_a_failed_build_is_made_again(tmp_path: Path) -> None:
    tools = tmp_path / "tools"
    tools.mkdir()
    (tools / "python3").write_text(PYTHON)
    (tools / "python3").chmod(0o755)
    root = tmp_path / "root"
    root.mkdir()
    pins, asked = root / "pyproject.toml", root / "asked"
    pins.write_text("one")

    def build() -> tuple[int, int]:
        """Its exit code, and how often something was installed so far."""
        command = tomllib.loads(DEPLOY.read_text())["build"]
        done = subprocess.run(
            ["/bin/sh", "-c", command], cwd=root, env={"PATH": f"{tools}:/usr/bin:/bin"}, timeout=20
        )
        return done.returncode, len(asked.read_text().splitlines())

    assert [build(), build()] == [(0, 1), (0, 1)]
    pins.write_text("two")
    (root / "broken").touch()
    assert build() == (1, 2)
    (root / "broken").unlink()
    assert [build(), build()] == [(0, 3), (0, 3)]
