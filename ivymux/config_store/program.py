"""The config store's process: hosts a replica, writes to disk in a thread, keeps connections to its peers."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from ivymux.config_store import calls, messages
from ivymux.config_store.actions import (
    EVERYONE,
    Action,
    Complete,
    LogLine,
    Persist,
    Publish,
    PublishSetting,
    Send,
    may_overtake,
)
from ivymux.config_store.calls import ReportHoldings, ReportLoads
from ivymux.config_store.changes import NO_VERSION
from ivymux.config_store.durable_store import OpenedStore
from ivymux.config_store.isolation import IsolationDetector
from ivymux.config_store.messages import PROTOCOL_VERSION, Greeting, ReplicaMessage
from ivymux.config_store.records import ReplicatedSetting, address_of
from ivymux.config_store.replica import Replica
from ivymux.config_store.shard_service import ShardService, StoredTable
from ivymux.config_store.timing import LEASE_S
from ivymux.data_plane.limits import Address
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import Connection, TransportError
from ivymux.transport.connector import Connector
from ivymux.transport.frames import Message
from ivymux.transport.listener import Listener, ListenerLimits

TICK_INTERVAL_S = 0.05
SHUTDOWN_MARGIN_S = 1.0  # before the end of `grace`, when the process ends even if it is still needed
SHUTDOWN_POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 0.85  # for a call that names no timeout; callers try another machine after about 1 s
CONTACT_TIMEOUT_S = 1.5  # in which two pings arrive from a machine that is reached
CALL_RETRY_INTERVAL_S = 0.04
CALL_POLL_INTERVAL_S = 0.05
MIN_FORWARD_TIMEOUT_S = 0.02  # with less time left, a call is not forwarded
GET_TIMEOUT_S = 0.7
MAX_QUEUE = 5000  # actions that may wait for the disk before it counts as failed
MAX_PEERS = 32  # core machines to connect to
MAX_TASKS = 4000  # calls of registries and proxies in progress
MAX_FAILED_CONNECTS = 40  # after which an unknown machine is no longer connected to
LOGGED_INVALID_COUNTS = (1, 10, 100, 1000)  # invalid messages are logged at these counts only

log = Log("config_store")


class ConfigStore:
    """The config store of one core machine: hosts its replica and carries out the replica's actions."""

    def __init__(
        self, settings: Settings, opened: OpenedStore, on_disk_failed: Callable[[str], None]
    ) -> None:
        """`on_disk_failed`: called once, with the reason, if the disk fails; nothing more is written then."""
        self.settings = settings
        self.durable_store, durable = opened.store, opened.durable
        self.on_disk_failed = on_disk_failed
        self.has_disk_failed = self.is_abandoned = False
        self.replica = Replica(durable, time.monotonic(), settings.backup_count)
        self.shards = ShardService(
            self.replica,
            self.replica.record_replication.settings,
            settings.heartbeat_period_s,
            settings.max_hold_s,
        )
        self.storing: set[str] = set()  # services whose tables of shards are being stored
        self.disk_executor = ThreadPoolExecutor(1)
        self.queue: deque[Action] = deque()  # actions that wait for the write in progress
        self.writing: list[Persist] = []  # the write in progress, or the one that failed
        self.write: asyncio.Future[None] | None = None  # the same, as it runs in the executor
        self.after_write: list[Action] = []  # actions to carry out once that write is done
        self.peers: dict[str, Connector] = {}  # by address
        self.listener = Listener(
            self.on_message,
            on_disconnect=self.on_disconnect,
            limits=ListenerLimits.from_settings(settings),
        )
        self.registries: set[Connection] = set()  # that receive updates
        self.calls: dict[int, asyncio.Future[None]] = {}  # waiting for all disks of the epoch, by id
        self.last_call_id = 0
        self.published: Publish | None = None  # the configuration in force
        self.cores: list[str] = []  # addresses, as last sent to registries
        self.invalid_messages = 0
        self.isolation = IsolationDetector()
        self.has_contact = False  # whether a majority of the core is reached, as last sent to registries
        self.incompatible_peers: set[str] = set()  # addresses that use another version of the protocol
        self.is_ending = False
        self.tasks: set[asyncio.Task[None]] = set()
        members = sorted(durable.epoch_record.voters()) if durable.epoch_record else ()
        for address in (*settings.seed_hosts(), *(address_of(member) for member in members)):
            self.connect_to(address)
        epoch = f"epoch {durable.epoch_record.number}" if durable.epoch_record else "no epoch"
        version = durable.state.version if durable.state else "none"
        log.info(f"starts as {durable.identity} with {epoch}, version {version}.")

    @staticmethod
    def listen_addresses(settings: Settings) -> tuple[Address, ...]:
        """Return the addresses that a config store listens at."""
        return (Address(settings.ip, settings.config_store_port),)

    async def start(self, listening: socket.socket) -> None:
        """Accept connections from a socket that listens, and start the replica's timer."""
        (address,) = self.listen_addresses(self.settings)
        await self.listener.start(address, listening)
        self.spawn(self.run())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is kept until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Tick the replica until the process ends."""
        while not self.is_ending:
            self.carry_out(self.replica.tick(time.monotonic()))
            self.update_cores()
            self.store_shard_tables()
            await asyncio.sleep(TICK_INTERVAL_S)

    def connect_to(self, address: str) -> None:
        """Keep a connection to another core machine's config store from now on."""
        if address != self.settings.ip and address not in self.peers and len(self.peers) < MAX_PEERS:
            self.peers[address] = Connector(
                Address(address, self.settings.config_store_port), self.on_message, on_connect=self.greet
            )

    def greet(self, connection: Connection) -> None:
        """Send the greeting as the first message of a new connection."""
        greeting = Greeting(self.replica.identity, self.settings.ip, PROTOCOL_VERSION)
        connection.send(messages.encode(greeting))
        self.replica.on_peer_connected()

    # --- messages ------------------------------------------------------------------------------------

    def on_message(self, connection: Connection, message: Message) -> None:
        """Handle a message of another config store or of a registry."""
        if messages.TAG in message:
            self.on_replica_message(connection, message)
            return
        kind = message.get("k")
        if kind == "desk":  # a registry subscribes to updates
            self.on_registry(connection)
        elif kind in calls.TAGS:
            if len(self.tasks) > MAX_TASKS:
                connection.answer(message, ok=False)
            else:
                self.spawn(self.on_call(connection, message))
        elif kind == "get":
            self.on_get(connection, message)

    def on_replica_message(self, connection: Connection, message: Message) -> None:
        try:
            typed = messages.decode(message)
            if isinstance(typed, Greeting):
                self.on_greeting(connection, typed)
            elif isinstance(connection.peer, str):
                self.carry_out(self.replica.handle(time.monotonic(), connection.peer, typed))
        except ValueError as error:
            self.invalid_messages += 1
            if self.invalid_messages in LOGGED_INVALID_COUNTS:
                log.info(f"ignored an invalid message of a peer: {error} ({self.invalid_messages} so far).")

    def on_greeting(self, connection: Connection, greeting: Greeting) -> None:
        """Accept a peer that uses the same version of the protocol; ignore any other."""
        if greeting.version != PROTOCOL_VERSION:
            if greeting.address not in self.incompatible_peers:
                self.incompatible_peers.add(greeting.address)
                log.info(
                    f"{greeting.address} uses version {greeting.version} of the protocol, this machine"
                    f" {PROTOCOL_VERSION}: its messages are ignored; start the same release on both."
                )
            return
        connection.peer = greeting.address
        self.connect_to(greeting.address)

    def on_registry(self, connection: Connection) -> None:
        """Register a registry for updates, and send it the current state."""
        self.registries.add(connection)
        if self.published is not None:
            connection.send(self.configuration_message(self.published))
        for setting in self.replica.record_replication.settings.values():
            connection.send(self.setting_message(setting))
        connection.send({"k": "cores", "l": self.cores})
        connection.send(self.contact_message())

    def on_disconnect(self, connection: Connection) -> None:
        self.registries.discard(connection)

    def configuration_message(self, published: Publish) -> Message:
        """Return the update that carries the configuration in force."""
        return {"k": "config", "v": published.version, "t": published.text}

    def setting_message(self, setting: ReplicatedSetting) -> Message:
        """Return the update that carries a replicated setting."""
        return {"k": "note", "name": setting.name, "v": setting.version, "t": setting.text}

    def contact_message(self) -> Message:
        """Return the update that says whether this machine reaches a majority of the core."""
        return {"k": "contact", "v": self.has_contact}

    def notify_registries(self, message: Message) -> None:
        """Send an update to all connected registries."""
        for registry in self.registries:
            registry.send(message)

    def update_cores(self) -> None:
        """Send registries the core machines when they have changed, and adjust the connections to them."""
        epoch = self.replica.known_epoch
        addresses = {address_of(member) for member in epoch.voters()} if epoch is not None else set()
        connected = {address for address, peer in self.peers.items() if peer.is_connected}
        now = time.monotonic()
        self.isolation.update(now, epoch, self.replica.identity, connected & self.responsive_addresses(now))
        self.update_contact(epoch is not None and self.isolation.isolated_since is None)
        addresses |= connected | {self.settings.ip}
        cores = sorted(addresses)
        if cores != self.cores:
            self.cores = cores
            for core in cores:
                self.connect_to(core)
            self.notify_registries({"k": "cores", "l": cores})
        for address, peer in list(self.peers.items()):
            is_gone = (
                peer.failed_attempts > MAX_FAILED_CONNECTS
                and address not in cores
                and all(address != seed.host for seed in self.settings.seed_addresses)
            )
            if is_gone:
                peer.close()
                del self.peers[address]

    def responsive_addresses(self, now: float) -> set[str]:
        """Return the addresses of core machines that have sent anything within CONTACT_TIMEOUT_S."""
        since = now - CONTACT_TIMEOUT_S
        accepted = {
            connection.peer
            for connection in self.listener.connections
            if isinstance(connection.peer, str) and connection.has_received_since(since)
        }
        opened = {
            address
            for address, peer in self.peers.items()
            if peer.connection is not None and peer.connection.has_received_since(since)
        }
        return accepted | opened

    def update_contact(self, has_contact: bool) -> None:
        """Tell registries when this machine begins or ceases to reach a majority of the core."""
        if has_contact != self.has_contact:
            self.has_contact = has_contact
            self.notify_registries(self.contact_message())

    # --- actions -------------------------------------------------------------------------------------

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out a replica's actions in order, each after the writes that it depends on."""
        if self.is_abandoned:
            return
        for action in actions:
            is_behind_write = self.queue or self.writing or isinstance(action, Persist)
            if is_behind_write and not may_overtake(action, [*self.writing, *self.queue]):
                self.queue.append(action)
            else:
                self.carry_out_now(action)
        if len(self.queue) > MAX_QUEUE:
            self.fail_disk(f"it does not answer, and {len(self.queue)} actions wait for it")
        if self.queue and not self.writing:
            self.start_write()

    def start_write(self) -> None:
        """Write all queued steps in one commit; the other queued actions follow it in order."""
        while self.queue and not isinstance(self.queue[0], Persist):
            self.carry_out_now(self.queue.popleft())
        if not self.queue or self.has_disk_failed:
            return
        self.writing = [a for a in self.queue if isinstance(a, Persist)]
        self.after_write = [a for a in self.queue if not isinstance(a, Persist)]
        self.queue.clear()
        loop = asyncio.get_running_loop()
        self.write = loop.run_in_executor(self.disk_executor, self.durable_store.write, self.writing)
        self.write.add_done_callback(self.on_written)

    def on_written(self, write: asyncio.Future[None]) -> None:
        """Carry out the actions that waited for a write, then start the next."""
        error = write.exception() if not write.cancelled() else None
        if self.is_abandoned:
            return
        if error is not None:
            # `writing` stays: no message may be sent that depends on this write.
            self.fail_disk(str(error))
            return
        self.writing = []
        actions, self.after_write = self.after_write, []
        for action in actions:
            self.carry_out_now(action)
        self.start_write()

    def fail_disk(self, why: str) -> None:
        """Report that the disk failed, once the step in progress is over."""
        if not self.has_disk_failed:
            self.has_disk_failed = True
            asyncio.get_running_loop().call_soon(self.on_disk_failed, why)

    async def abandon(self) -> None:
        """End all connections and tasks at once, and close the store when no write uses it any more.

        What other machines and this disk know of this store is then the same as after a killed process.
        """
        self.is_ending = self.is_abandoned = True
        self.queue.clear()
        self.after_write = []
        for task in self.tasks:
            task.cancel()
        for peer in self.peers.values():
            peer.close()
        self.listener.close()
        if self.write is not None:
            await asyncio.wait([self.write])
        self.disk_executor.shutdown(wait=False)
        self.durable_store.close()

    def carry_out_now(self, action: Action) -> None:
        """Carry out an action that depends on no write, or whose writes are on disk."""
        match action:
            case Send():
                self.send(action)
            case Complete():
                call = self.calls.pop(action.call_id, None)
                if call is not None and not call.done():
                    call.set_result(None)
            case Publish():
                self.published = action
                self.notify_registries(self.configuration_message(action))
            case PublishSetting():
                self.notify_registries(self.setting_message(action.setting))
            case LogLine():
                log.info(f"{action.text}.")

    def send(self, action: Send) -> None:
        """Send a replica's message, to this machine itself by way of the event loop."""
        if action.to == self.settings.ip:
            asyncio.get_running_loop().call_soon(self.deliver_to_self, action.message)
            return
        message = messages.encode(action.message)
        if action.to == EVERYONE:
            for address, peer in self.peers.items():
                if address not in action.except_for:
                    peer.send(message)
            return
        self.connect_to(action.to)
        known = self.peers.get(action.to)
        if known is not None:
            known.send(message)

    def deliver_to_self(self, message: ReplicaMessage) -> None:
        self.carry_out(self.replica.handle(time.monotonic(), self.settings.ip, message))

    # --- calls of registries and proxies ----------------------------------------------------------------

    def primary_address(self) -> str | None:
        """Return the address of the primary; None where no primary asked for its lease recently."""
        replica = self.replica
        if replica.last_primary and time.monotonic() - replica.primary_seen_at < 2 * LEASE_S:
            return address_of(replica.last_primary)
        return None

    async def on_call(self, connection: Connection, message: Message) -> None:
        """Answer a call by the primary, here or on another machine, within the call's timeout.

        While an election may succeed, the call waits for its result; a machine that is cut off from every
        majority refuses at once, so that the caller goes on to another machine.
        """
        deadline = time.monotonic() + float(message.get("w") or CALL_TIMEOUT_S)
        while time.monotonic() < deadline:
            if (answer := await self.try_call(message, deadline)) is not None:
                connection.answer(message, **answer)
                return
            if self.isolation.is_isolated(time.monotonic()):
                break
            await asyncio.sleep(CALL_RETRY_INTERVAL_S)
        connection.answer(message, ok=False)

    async def try_call(self, message: Message, deadline: float) -> Message | None:
        """Try a call once; returns None where no primary is reachable, or none answered in time."""
        self.last_call_id += 1
        call_id = self.last_call_id
        completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.calls[call_id] = completed
        try:
            call = calls.decode(message)
            if isinstance(call, ReportHoldings | ReportLoads):
                answer = self.shards.on_call(call, time.monotonic())
                return answer if answer is not None else await self.forward_call(message, deadline)
            reply = self.replica.handle_call(time.monotonic(), call_id, call)
            if reply is not None:
                self.carry_out(reply.actions)
                step_downs = self.replica.step_downs
                while reply.wait and not completed.done():
                    if time.monotonic() >= deadline or self.replica.step_downs != step_downs:
                        return None
                    await asyncio.wait([completed], timeout=CALL_POLL_INTERVAL_S)
                return reply.answer
        except ValueError as error:
            return {"ok": False, "why": str(error)}
        finally:
            self.calls.pop(call_id, None)
        return await self.forward_call(message, deadline)

    def store_shard_tables(self) -> None:
        """Store the tables of shards that have changed, one of each service at a time."""
        for stored in self.shards.tables_to_store(time.monotonic()):
            if stored.service not in self.storing:
                self.storing.add(stored.service)
                self.spawn(self.store_shard_table(stored))

    async def store_shard_table(self, stored: StoredTable) -> None:
        """Store a table of shards; if that fails, it is tried again with the next tick."""
        try:
            deadline = time.monotonic() + CALL_TIMEOUT_S
            answer = await self.try_call({**calls.encode(stored.call), "passed": True}, deadline)
        finally:
            self.storing.discard(stored.service)
        if answer is not None and answer.get("ok") is True and answer.get("taken") is not False:
            self.shards.on_stored(stored)

    async def forward_call(self, message: Message, deadline: float) -> Message | None:
        """Forward a call to the primary on another machine, unless this call was already forwarded."""
        address = self.primary_address()
        if address is None or message.get("passed"):
            return None
        peer = self.peers.get(address)
        remaining_s = deadline - time.monotonic()
        if peer is None or not peer.is_connected or remaining_s <= MIN_FORWARD_TIMEOUT_S:
            return None
        fields = {key: value for key, value in message.items() if key != "n"}
        forwarded = {**fields, "passed": True, "w": remaining_s}
        try:
            answer = await peer.call(forwarded, remaining_s)
        except TransportError:
            return None
        if answer.get("ok") is not True:
            return None
        return {key: value for key, value in answer.items() if key != "re"}

    def on_get(self, connection: Connection, message: Message) -> None:
        """Answer a request for the newest configuration, which only the primary knows for certain."""
        if self.replica.may_serve(time.monotonic()):
            state = self.replica.state
            version = state.version if state is not None else NO_VERSION
            text = state.text if state is not None and state.version >= 0 else ""
            connection.answer(message, ok=True, v=version, t=text)
            return
        self.spawn(self.forward_get(connection, message))

    async def forward_get(self, connection: Connection, message: Message) -> None:
        """Answer with the configuration of the primary on another machine."""
        address = self.primary_address()
        peer = self.peers.get(address) if address is not None and not message.get("passed") else None
        if peer is not None and peer.is_connected:
            try:
                answer = await peer.call({"k": "get", "passed": True}, GET_TIMEOUT_S)
                connection.answer(message, ok=answer.get("ok"), v=answer.get("v"), t=answer.get("t"))
                return
            except TransportError:
                pass
        connection.answer(message, ok=False)

    async def stop(self) -> None:
        """Hand over this machine's roles, for as long as `grace` allows, and close all connections."""
        deadline = time.monotonic() + max(0.0, self.settings.shutdown_grace_s - SHUTDOWN_MARGIN_S)
        self.carry_out(self.replica.leave(time.monotonic()))
        while not self.replica.may_exit() and time.monotonic() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        if not self.replica.may_exit():
            log.info("ends with a copy that no other machine could take over within `grace`.")
        self.is_ending = True
        for peer in self.peers.values():
            peer.close()
        self.listener.close()
