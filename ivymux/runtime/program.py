"""Runs one of the system's programs: command line (absl), settings, log, signals."""

from __future__ import annotations

import asyncio
import contextlib
import faulthandler
import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Protocol

import uvloop
from absl import flags

from ivymux import __version__
from ivymux.data_plane.limits import ConfigError
from ivymux.runtime import log as logs
from ivymux.runtime.settings import Settings, load, settings_path

SETTINGS_POLL_INTERVAL_S = 2.0


class Program(Protocol):
    """What a role's program offers.  If it also has `reload(settings)`, it gets changed settings."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


def define_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags of every program of the system."""
    flags.DEFINE_string(
        "settings", None, "The settings file; by default IVYMUX_NODE_FILE names it.", flag_values=flag_values
    )
    flags.DEFINE_bool("check", False, "Check the settings file and exit.", flag_values=flag_values)


async def serve(
    create: Callable[[Settings], Program], settings: Settings, path: Path, fingerprint: object
) -> signal.Signals:
    """Run a program until SIGTERM or SIGINT; return which it was.  Raises ConfigError if it can't listen.

    Settings are reloaded on SIGHUP, and when the file at `path` changes.  `fingerprint`: of the file, taken
    before `settings` were read from it, so that no change in between is missed; SIGHUP is ignored until the
    event loop handles it.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    received: list[signal.Signals] = []

    def stop(number: signal.Signals) -> None:
        received.append(number)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
    program = create(settings)
    log = logs.Log("station")

    def reload() -> None:
        apply = getattr(program, "reload", None)
        try:
            changed = load(path)
        except ConfigError as error:
            log.info(f"the settings are not reloaded, the previous ones remain in force: {error}.")
            return
        if apply is not None:
            apply(changed)

    loop.add_signal_handler(signal.SIGHUP, reload)

    async def watch_settings() -> None:
        previous = fingerprint
        while not stopping.is_set():
            current = file_fingerprint(path)
            if current != previous:
                previous = current
                reload()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), SETTINGS_POLL_INTERVAL_S)

    try:
        await program.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    gc.collect()
    gc.freeze()
    watcher = loop.create_task(watch_settings())
    await stopping.wait()
    watcher.cancel()
    await program.stop()
    return received[0]


def file_fingerprint(path: Path) -> object:
    """A value that changes when the file does; None if the file can't be read."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def main(role: str, arguments: Sequence[str], early: socket.socket | None = None) -> int:
    """Run the program of a role until it is stopped; return its exit code.

    `early` is a listening socket on which clients may wait already.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define_flags(values)
    try:
        rest = values([f"ivymux {role}", *arguments])
        if len(rest) > 1:
            raise flags.Error(f"unknown argument: {rest[1]}")
    except flags.Error as error:
        return logs.fail(f"{error}; the flags are --settings FILE and --check")
    try:
        path = settings_path(values.settings)
        fingerprint = file_fingerprint(path)
        settings = load(path)
        if values.check:
            print(f"{path}: valid")
            return 0
        logs.start()
        return run(role, early, settings, path, fingerprint)
    except ConfigError as error:
        return logs.fail(error)


def run(role: str, early: socket.socket | None, settings: Settings, path: Path, fingerprint: object) -> int:
    """Serve, and log the start and the reason of the end; return the exit code.  Raises ConfigError.

    A fatal signal, such as SIGSEGV or SIGBUS, writes the threads' stacks to standard error.
    """
    faulthandler.enable()
    log = logs.Log(role)
    version = ".".join(map(str, sys.version_info[:3]))
    log.info(
        f"starts ivymux {__version__} as process {os.getpid()}, Python {version} on {os.uname().machine}."
    )
    started_at = time.monotonic()

    def log_end(why: str) -> None:
        log.info(f"ends after {time.monotonic() - started_at:.1f} s: {why}.")

    try:
        number = uvloop.run(serve(program_factory(role, early), settings, path, fingerprint))
    except SystemExit as ended:
        log_end(f"exit code {ended.code}")
        raise
    except ConfigError:
        log_end("it cannot run with these settings")
        raise
    except BaseException as error:
        log_end(f"unexpected {type(error).__name__}")
        raise
    log_end(f"{number.name} was received")
    return 0


def program_factory(role: str, early: socket.socket | None = None) -> Callable[[Settings], Program]:
    """Return what creates the program of a role.  Each role imports only what it needs, to start fast."""
    if role == "proxy":
        from ivymux.proxy.program import Proxy

        return partial(Proxy, early_socket=early)
    if role == "registry":
        from ivymux.registry.program import Registry

        return Registry
    from ivymux.config_store.program import ConfigStore

    return ConfigStore
