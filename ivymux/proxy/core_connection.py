"""A proxy's connection to one core machine's registry: membership, configuration, replicated settings."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ivymux.data_plane.limits import Address
from ivymux.proxy.proxy_list_sources import needs_list_source
from ivymux.registry import message_kinds as kinds
from ivymux.runtime.log import Log
from ivymux.transport.connection import Connection
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message
from orchidhill import interface as i

if TYPE_CHECKING:
    from ivymux.proxy.program import Proxy

SAME_ZONE_DELAY_S = 0.1  # for which the configuration is requested only within the same zone
MAX_EJECTION_S = 10.0  # longest ejection of a backend that the core may demand

log = Log("proxy")


class CoreConnection:
    """Keeps the connection to one registry, and applies its messages to the proxy."""

    def __init__(self, proxy: Proxy, ip: str) -> None:
        self.proxy, self.ip = proxy, ip
        self.config_version, self.zone = -1, ""  # as the registry reports them
        self.sends_proxy_lists = False  # on this connection, or it has been asked to
        address = Address(ip, proxy.settings.registry_port)
        self.connector = Connector(
            address, self.on_message, on_connect=self.on_connect, on_disconnect=self.on_disconnect
        )

    @property
    def is_connected(self) -> bool:
        return self.connector.is_connected

    def on_connect(self, connection: Connection) -> None:
        """Introduce this proxy; the registry answers with a snapshot."""
        registry = self.proxy.membership.registry(self.ip)
        settings = self.proxy.settings
        self.sends_proxy_lists = self.sends_proxy_lists or needs_list_source(self.proxy.registry_links())
        connection.send(
            {"k": kinds.HELLO, "id": self.proxy.id, "ip": settings.ip, "port": settings.proxy_port,
             "zone": settings.zone, "run": registry.incarnation_id, "n": registry.last_sequence,
             "age": self.proxy.core_connected_seconds(), "lists": self.sends_proxy_lists}
        )  # fmt: skip

    def request_proxy_lists(self) -> None:
        """Ask the registry for the list of proxies, and for its changes."""
        self.sends_proxy_lists = True
        self.connector.send({"k": kinds.PROXY_LISTS})

    def on_disconnect(self, connection: Connection) -> None:
        self.sends_proxy_lists = False
        if self.proxy.membership.registry(self.ip).connected:
            self.proxy.membership.on_disconnected(self.ip, time.monotonic())
            self.proxy.clock.remove_source(self.ip)
            self.proxy.on_membership_changed()
        self.proxy.replace_list_sources()

    def on_message(self, connection: Connection, message: Message) -> None:
        try:
            self.handle(connection, message)
        except (KeyError, TypeError, ValueError) as error:
            self.proxy.malformed_messages += 1
            if self.proxy.malformed_messages in (1, 10, 100, 1000):
                log.info(f"closed a connection after a malformed message of a registry: {error}.")
            connection.abort()

    def handle(self, connection: Connection, message: Message) -> None:
        """Handle a message by its kind.  Raises KeyError, TypeError or ValueError if it is malformed."""
        proxy, kind = self.proxy, message["k"]
        if kind == kinds.BACKEND_CHANGES:
            self.on_changes(connection, message)
        elif kind == kinds.SNAPSHOT:
            self.on_snapshot(connection, message)
        elif kind == kinds.PROXY_CHANGES:
            if self.sends_proxy_lists:
                joined, left = message["on"], message["off"]
                proxy.membership.update_proxies(self.ip, joined, left, time.monotonic())
                proxy.on_membership_changed()
        elif kind == kinds.EJECTION:
            if number := proxy.backend_number(str(message["id"])):
                seconds = float(message["for"])
                proxy.host.post(i.Shun(number, min(MAX_EJECTION_S, seconds)))
        elif kind == kinds.SHARDS:
            service, previous, version = str(message["s"]), int(message["f"]), int(message["v"])
            if not proxy.shard_tables.apply(service, previous, version, message["c"]):
                connection.send({"k": kinds.SHARDS, "s": service})  # changes are missing
        elif kind == kinds.CORES:
            proxy.update_cores(message["l"])
        elif kind == kinds.SETTING:
            name, text = str(message["name"]), str(message["t"])
            proxy.on_replicated_setting(name, text)
        elif kind == kinds.CONFIG:
            self.config_version = int(message["v"])
            if self.config_version <= proxy.config_version:
                self.acknowledge_configuration()
            self.request_configuration()
        elif kind == kinds.CONFIG_TEXT:
            version, text = int(message["v"]), str(message["t"])
            proxy.apply_configuration(version, text)
            for core in proxy.cores.values():  # any core machine may be waiting to answer the operator
                core.acknowledge_configuration()

    def on_changes(self, connection: Connection, message: Message) -> None:
        previous, sequence, backends = int(message["f"]), int(message["n"]), message["i"]
        membership = self.proxy.membership
        if not membership.apply_changes(self.ip, previous, sequence, backends, time.monotonic()):
            self.on_connect(connection)  # changes are missing: request a snapshot
            return
        self.proxy.on_membership_changed()
        connection.send({"k": kinds.CHANGE_ACK, "n": message["n"]})

    def on_snapshot(self, connection: Connection, message: Message) -> None:
        proxy, now = self.proxy, time.monotonic()
        self.zone, self.config_version = str(message["zone"]), int(message["v"])
        system_time = float(message["t"])
        proxy.clock.update(self.ip, system_time, now)
        incarnation_id, sequence = str(message["run"]), int(message["n"])
        complete, backends = message["whole"] is True, message["i"]
        proxies = message["doors"] if self.sends_proxy_lists else None
        proxy.membership.apply_snapshot(self.ip, incarnation_id, sequence, complete, backends, proxies, now)
        proxy.update_cores(message["cores"])
        proxy.on_membership_changed()
        connection.send({"k": kinds.CHANGE_ACK, "n": message["n"]})
        self.acknowledge_configuration()
        self.request_configuration()

    def acknowledge_configuration(self) -> None:
        """Report to the registry which configuration is in force at this proxy."""
        if self.proxy.config_version >= 0 and self.is_connected:
            self.connector.send({"k": kinds.CONFIG_APPLIED, "v": self.proxy.config_version})

    def request_configuration(self, is_delayed: bool = False) -> None:
        """Request a newer configuration, from a core machine of the same zone first."""
        proxy = self.proxy
        if self.config_version <= proxy.config_version or not self.is_connected:
            return
        zone = proxy.settings.zone
        has_same_zone = any(core.zone == zone and core.is_connected for core in proxy.cores.values())
        if self.zone != zone and has_same_zone and not is_delayed:
            proxy.loop.call_later(SAME_ZONE_DELAY_S, self.request_configuration, True)
            return
        now = time.monotonic()
        requested_recently = now - proxy.configuration_requested_at < SAME_ZONE_DELAY_S
        if requested_recently and proxy.requested_version >= self.config_version:
            proxy.loop.call_later(SAME_ZONE_DELAY_S, self.request_configuration, True)
            return
        proxy.configuration_requested_at, proxy.requested_version = now, self.config_version
        self.connector.send({"k": kinds.CONFIG_REQUEST})
