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
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

import uvloop
from absl import flags

from ivymux import __version__
from ivymux.data_plane.limits import Address, ConfigError
from ivymux.runtime import log as logs
from ivymux.runtime.listening_sockets import ListeningSockets
from ivymux.runtime.memory_watch import MemoryWatch, peak_memory_mb
from ivymux.runtime.settings import Settings, load, settings_path
from ivymux.runtime.settings_file import file_fingerprint, load_when_written

WATCH_INTERVAL_S = 2.0
# Beyond `grace`, after which the platform kills a predecessor that still stops.
LISTEN_MARGIN_S = 10.0


class Program(Protocol):
    """What a role's program offers.  If it also has `reload(settings)`, it gets changed settings."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class ProgramType(Protocol):
    """Creates the program of a role; listens at these addresses before."""

    def listen_addresses(self, settings: Settings) -> Sequence[Address]: ...

    def __call__(self, settings: Settings, sockets: ListeningSockets) -> Program: ...


def define_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags of every program of the system."""
    flags.DEFINE_string(
        "settings", None, "The settings file; by default IVYMUX_NODE_FILE names it.", flag_values=flag_values
    )
    flags.DEFINE_bool("check", False, "Check the settings file and exit.", flag_values=flag_values)


async def serve(
    program_type: ProgramType,
    settings: Settings,
    path: Path,
    fingerprint: object,
    sockets: ListeningSockets | None = None,
) -> signal.Signals:
    """Run a program until SIGTERM or SIGINT; return which it was.  Raises ConfigError if it can't listen.

    Settings are reloaded on SIGHUP, and when the file at `path` changes.  `fingerprint`: of the file, taken
    before `settings` were read from it, so that no change in between is missed; SIGHUP is ignored until the
    event loop handles it.  `sockets`: listen already.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    received: list[signal.Signals] = []

    def stop(number: signal.Signals) -> None:
        received.append(number)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number)
    log = logs.Log("station")
    sockets = sockets or ListeningSockets()
    while True:
        patience_s = settings.shutdown_grace_s + LISTEN_MARGIN_S
        await sockets.open(program_type.listen_addresses(settings), patience_s, stopping, log)
        if stopping.is_set():
            sockets.close()
            return received[0]
        if (current := file_fingerprint(path)) == fingerprint:
            break
        try:
            settings, fingerprint = load(path), current  # they changed while this process waited
        except ConfigError:
            break  # reported with the next reload
    program = program_type(settings, sockets)

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

    memory_watch = MemoryWatch(log, settings.memory_mb)

    async def watch() -> None:
        """Notice changes of the settings, and memory near its limit."""
        previous = fingerprint
        while not stopping.is_set():
            memory_watch.check(peak_memory_mb())
            current = file_fingerprint(path)
            if current != previous:
                previous = current
                reload()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), WATCH_INTERVAL_S)

    try:
        await program.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    sockets.close()
    gc.collect()
    gc.freeze()
    watcher = loop.create_task(watch())
    await stopping.wait()
    watcher.cancel()
    await program.stop()
    return received[0]


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
        if values.check:
            load(path)
            print(f"{path}: valid")
            return 0
        settings, fingerprint = load_when_written(path)
        logs.start()
        return run(role, early, settings, path, fingerprint)
    except ConfigError as error:
        return logs.fail(error)


def run(role: str, early: socket.socket | None, settings: Settings, path: Path, fingerprint: object) -> int:
    """Serve, and log the start and the reason of the end; return the exit code.  Raises ConfigError.

    A fatal signal, such as SIGSEGV or SIGBUS, writes the threads' stacks to standard error.
    """
    with contextlib.suppress(RuntimeError, OSError):  # there is no standard error
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
        sockets = ListeningSockets()
        if early is not None:
            sockets.add(early)
        number = uvloop.run(serve(program_type(role), settings, path, fingerprint, sockets))
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


def program_type(role: str) -> ProgramType:
    """Return the program of a role.  Each role imports only what it needs, to start fast."""
    if role == "proxy":
        from ivymux.proxy.program import Proxy

        return Proxy
    if role == "registry":
        from ivymux.registry.program import Registry

        return Registry
    from ivymux.config_store.disk_recovery import RecoveringConfigStore

    return RecoveringConfigStore
