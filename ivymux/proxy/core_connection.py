"""A door's connection to one core machine's registry: what it hears there, and what it asks for."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ivymux.data_plane.limits import Address
from ivymux.runtime.log import Log
from ivymux.transport.connection import Connection, Connector
from ivymux.transport.frames import Message
from orchidhill import interface as i

if TYPE_CHECKING:
    from ivymux.proxy.program import Proxy

NEAR_FIRST = 0.1  # seconds for which a door waits for the configuration from its own zone
MAX_SHUN = 10.0  # seconds for which a door leaves a backend alone by the core's word

log = Log("proxy")


class CoreConnection:
    """The connection to one core machine's registry."""

    def __init__(self, door: Proxy, ip: str) -> None:
        self.door, self.ip = door, ip
        self.version, self.zone = -1, ""
        self.asked_at = 0.0
        address = Address(ip, door.settings.registry_port)
        self.line = Connector(address, self.heard, on_connect=self.up, on_disconnect=self.down)

    def up(self, line: Connection) -> None:
        source = self.door.membership.registry(self.ip)
        settings = self.door.settings
        line.send(
            {"k": "door", "id": self.door.id, "ip": settings.ip, "port": settings.proxy_port,
             "zone": settings.zone, "run": source.incarnation_id, "n": source.last_sequence,
             "age": self.door.age()}
        )  # fmt: skip

    def down(self, line: Connection) -> None:
        if self.door.membership.registry(self.ip).connected:
            self.door.membership.on_disconnected(self.ip, time.monotonic())
            self.door.clock.remove_source(self.ip)
            self.door.changed()

    def heard(self, line: Connection, message: Message) -> None:
        try:
            self.hear(line, message)
        except (KeyError, TypeError, ValueError) as error:
            self.door.spoilt += 1
            if self.door.spoilt in (1, 10, 100, 1000):
                log.info(f"a message that no registry sends ended its connection: {error}.")
            line.abort()

    def hear(self, line: Connection, message: Message) -> None:
        door, kind, now = self.door, message["k"], time.monotonic()
        if kind == "news":
            if not door.membership.apply_changes(
                self.ip, int(message["f"]), int(message["n"]), message["i"], now
            ):
                self.up(line)  # a gap: what is missing comes with its answer
                return
            door.changed()
            line.send({"k": "ack", "n": message["n"]})
        elif kind == "here":
            self.zone, self.version = str(message["zone"]), int(message["v"])
            door.clock.update(self.ip, float(message["t"]), now)
            door.membership.apply_snapshot(
                self.ip, str(message["run"]), int(message["n"]), message["whole"] is True, message["i"],
                message["doors"], now,
            )  # fmt: skip
            door.meet(message["cores"])
            door.changed()
            line.send({"k": "ack", "n": message["n"]})
            self.have()
            self.want()
        elif kind == "doors":
            door.membership.update_proxies(self.ip, message["on"], message["off"], now)
            door.changed()
        elif kind == "shun":
            if number := door.number(str(message["id"])):
                door.host.post(i.Shun(number, min(MAX_SHUN, float(message["for"]))))
        elif kind == "cores":
            door.meet(message["l"])
        elif kind == "note":
            door.note(str(message["name"]), str(message["t"]))
        elif kind == "config":
            self.version = int(message["v"])
            if self.version <= door.version:
                self.have()
            self.want()
        elif kind == "text":
            door.apply(int(message["v"]), str(message["t"]))
            for core in door.cores.values():  # any of them may be the one that answers the operator
                core.have()

    def have(self) -> None:
        """Acknowledge the configuration that is in force here."""
        if self.door.version >= 0 and self.line.is_connected:
            self.line.send({"k": "have", "v": self.door.version})

    def want(self, late: bool = False) -> None:
        """Ask for a configuration that this door lacks: at its own zone's core machine first."""
        door = self.door
        if self.version <= door.version or not self.line.is_connected:
            return
        near = any(c.zone == door.settings.zone and c.line.is_connected for c in door.cores.values())
        if self.zone != door.settings.zone and near and not late:
            door.loop.call_later(NEAR_FIRST, self.want, True)
            return
        now = time.monotonic()
        if now - door.asked_at < NEAR_FIRST and door.asked_version >= self.version:
            door.loop.call_later(NEAR_FIRST, self.want, True)
            return
        door.asked_at, door.asked_version = now, self.version
        self.line.send({"k": "want"})
