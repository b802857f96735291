"""Installs what the programs import into target/deps: `python3 deploy/build.py`.

Nothing is done if the packages there were installed for these requirements, this interpreter and machine,
and the programs can be imported with them.  Otherwise they are installed into a folder of their own, which
replaces the former one when it is whole.  Builds that are started at the same time run one after another.
"""

from __future__ import annotations

import fcntl
import os
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "pyproject.toml"
TARGET = ROOT / "target"
INSTALLED = TARGET / "deps"
STAMP_NAME = "built-for.txt"  # within the folder of the packages
PROGRAMS = ("ivymux.proxy.program", "ivymux.registry.program", "ivymux.config_store.disk_recovery")
ATTEMPTS = 3  # a package registry may fail once


def stamp() -> str:
    """Return what the packages depend on: interpreter, machine and requirements."""
    return f"{sys.version}\n{sysconfig.get_platform()}\n{REQUIREMENTS.read_text(encoding='utf-8')}"


def is_stamped(packages: Path) -> bool:
    """Whether the packages were installed for this interpreter, machine and these requirements."""
    try:
        return (packages / STAMP_NAME).read_text(encoding="utf-8") == stamp()
    except OSError:
        return False


def can_import(packages: Path) -> bool:
    """Whether the programs can be imported with these packages."""
    code = f"import {', '.join(PROGRAMS)}"
    environment = {**os.environ, "PYTHONPATH": str(packages)}
    return subprocess.run([sys.executable, "-S", "-c", code], cwd=ROOT, env=environment).returncode == 0


def install(packages: Path) -> bool:
    """Install the required packages into a new folder; return whether that succeeded."""
    requirements = tomllib.loads(REQUIREMENTS.read_text(encoding="utf-8"))["project"]["dependencies"]
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(packages), *requirements]
    for _ in range(ATTEMPTS):
        shutil.rmtree(packages, ignore_errors=True)
        if subprocess.run(command, cwd=ROOT).returncode == 0:
            (packages / STAMP_NAME).write_text(stamp(), encoding="utf-8")
            return True
    return False


def replace(packages: Path) -> None:
    """Put new packages in the place of the former ones, whose files stay open in running programs."""
    former = TARGET / "deps.former"
    shutil.rmtree(former, ignore_errors=True)
    if INSTALLED.exists():
        INSTALLED.rename(former)
    packages.rename(INSTALLED)
    shutil.rmtree(former, ignore_errors=True)


def main() -> int:
    """Build; return the exit code."""
    TARGET.mkdir(exist_ok=True)
    with open(TARGET / "lock", "w", encoding="utf-8") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if is_stamped(INSTALLED) and can_import(INSTALLED):
            return 0
        packages = TARGET / "deps.new"
        if not install(packages):
            print(f"build: the packages of {REQUIREMENTS.name} cannot be installed", file=sys.stderr)
            return 1
        if not can_import(packages):
            print(f"build: the programs cannot be imported with {packages}", file=sys.stderr)
            return 1
        replace(packages)
    return 0


if __name__ == "__main__":
    sys.exit(main())
