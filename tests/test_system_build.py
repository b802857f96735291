"""The system's build command: what counts as built, failures, and builds at the same time."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Replaces pip: logs each installation, and writes the module `one` into the target folder.
FAKE_PIP = """
import pathlib, sys
with open("installations", "a") as log:
    log.write("x")
if pathlib.Path("broken").exists():
    sys.exit(1)
packages = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
packages.mkdir()
(packages / "one.py").write_text("ONE = 1")
"""


class Checkout:
    """A small checkout with the build script, programs that import one package, and a fake pip."""

    def __init__(self, folder: Path) -> None:
        self.root, self.tools = folder / "root", folder / "tools"
        for program in ("proxy", "registry", "config_store"):
            package = self.root / "ivymux" / program
            package.mkdir(parents=True)
            for module in ("program.py", "disk_recovery.py"):
                (package / module).write_text("from one import ONE")
        (self.root / "deploy").mkdir()
        shutil.copy(ROOT / "deploy" / "build.py", self.root / "deploy")
        (self.root / "pyproject.toml").write_text('[project]\ndependencies = ["one==1"]\n')
        (self.tools / "pip").mkdir(parents=True)
        (self.tools / "pip" / "__init__.py").touch()
        (self.tools / "pip" / "__main__.py").write_text(FAKE_PIP)

    def start(self) -> subprocess.Popen[bytes]:
        program, script = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"].split(" ")
        assert program == "python3"
        environment = {**os.environ, "PYTHONPATH": str(self.tools)}
        return subprocess.Popen(
            [sys.executable, script], cwd=self.root, env=environment, stderr=subprocess.DEVNULL
        )

    def build(self) -> tuple[int, int]:
        """Build; return the exit code and the number of installations so far."""
        return self.start().wait(timeout=60), self.installations()

    def installations(self) -> int:
        return len((self.root / "installations").read_text())


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


def test_packages_are_installed_once_and_again_for_other_requirements(checkout: Checkout) -> None:
    assert [checkout.build(), checkout.build()] == [(0, 1), (0, 1)]
    (checkout.root / "pyproject.toml").write_text('[project]\ndependencies = ["one==2"]\n')
    assert [checkout.build(), checkout.build()] == [(0, 2), (0, 2)]


# Guards against packages of another machine or Python that count as built, so that nothing starts (issue 73).
def test_packages_of_another_interpreter_or_machine_are_installed_again(checkout: Checkout) -> None:
    checkout.build()
    stamp = checkout.root / "target" / "deps" / "built-for.txt"
    assert sys.version in stamp.read_text()
    stamp.write_text(stamp.read_text().replace(sys.version, "3.9.1"))
    assert checkout.build() == (0, 2)
    machine = os.uname().machine
    assert machine in stamp.read_text()
    stamp.write_text(stamp.read_text().replace(machine, "m68k"))
    assert checkout.build() == (0, 3)


def test_packages_that_cannot_be_imported_are_installed_again(checkout: Checkout) -> None:
    checkout.build()
    (checkout.root / "target" / "deps" / "one.py").write_text("raise ImportError")
    assert [checkout.build(), checkout.build()] == [(0, 2), (0, 2)]


def test_a_build_that_fails_is_tried_again_and_leaves_the_former_packages(checkout: Checkout) -> None:
    checkout.build()
    (checkout.root / "pyproject.toml").write_text('[project]\ndependencies = ["one==2"]\n')
    (checkout.root / "broken").touch()
    assert checkout.build() == (1, 4)
    assert (checkout.root / "target" / "deps" / "one.py").exists()
    (checkout.root / "broken").unlink()
    assert checkout.build() == (0, 5)


def test_builds_at_the_same_time_install_once(checkout: Checkout) -> None:
    builds = [checkout.start() for _ in range(4)]
    assert [build.wait(timeout=60) for build in builds] == [0, 0, 0, 0]
    assert checkout.installations() == 1


# Guards against a system that does not start where the caller sets no PYTHONPATH (issue 76).
@pytest.mark.parametrize("role", ["proxy", "registry", "config_store"])
def test_programs_find_the_built_packages_by_themselves(checkout: Checkout, role: str) -> None:
    checkout.build()
    shutil.copy(ROOT / "deploy" / "start.py", checkout.root / "deploy")
    (checkout.root / "ivymux" / "__main__.py").write_text("from one import ONE\ndef main(): return 40 + ONE")
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    program, *arguments = roles[role]["run"].split(" ")
    assert program == "python3"
    environment = {"PATH": os.environ["PATH"]}
    command = [sys.executable, *arguments]
    assert subprocess.run(command, cwd=checkout.root, env=environment).returncode == 41
