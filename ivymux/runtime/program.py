"""Starts one of the system's programs: command line (absl), settings, log, signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import socket
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Protocol

import uvloop
from absl import flags

from ivymux.data_plane.limits import ConfigError
from ivymux.runtime import log as logs
from ivymux.runtime.settings import Settings, load, path_of

LOOK = 2.0  # seconds between looks at the settings file


class Program(Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...


def define(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", None, "The settings file; by default IVYMUX_NODE_FILE names it.", flag_values=flag_values
    )
    flags.DEFINE_bool("check", False, "Check the settings file and end.", flag_values=flag_values)


async def serve(make: Callable[[Settings], Program], settings: Settings, path: Path) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    program = make(settings)
    said = logs.Log("station")

    def reload() -> None:
        take = getattr(program, "reload", None)
        try:
            found = load(path)
        except ConfigError as error:
            said.say(f"the settings stay as they were: {error}.")
            return
        if take is not None:
            take(found)

    loop.add_signal_handler(signal.SIGHUP, reload)

    async def watch() -> None:
        seen = stamp(path)
        while not ended.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), LOOK)
            now = stamp(path)
            if now != seen:
                seen = now
                reload()

    try:
        await program.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    gc.collect()
    gc.freeze()
    watching = loop.create_task(watch())
    await ended.wait()
    watching.cancel()
    await program.stop()


def stamp(path: Path) -> object:
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def main(role: str, arguments: Sequence[str], early: socket.socket | None = None) -> int:
    """Run one program until it is told to end; its exit code.  `early`: where clients wait already."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    define(values)
    try:
        rest = values([f"ivymux {role}", *arguments])
        if len(rest) > 1:
            raise flags.Error(f"unknown: {rest[1]}")
    except flags.Error as error:
        return logs.fail(f"{error}; --settings FILE, --check")
    try:
        path = path_of(values.settings)
        settings = load(path)
        if values.check:
            print(f"{path}: well")
            return 0
        logs.start()
        uvloop.run(serve(maker(role, early), settings, path))
    except ConfigError as error:
        return logs.fail(error)
    return 0


def maker(role: str, early: socket.socket | None = None) -> Callable[[Settings], Program]:
    """The program of a role; a door imports only what a door needs."""
    if role == "proxy":
        from ivymux.proxy.program import Door

        return partial(Door, waiting=early)
    if role == "registry":
        from ivymux.registry.program import Registry

        return Registry
    from ivymux.config_store.program import ConfigStore

    return ConfigStore
