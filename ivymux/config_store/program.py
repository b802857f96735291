"""The configuration store's process: the member's wiring, its disk in a thread, held connections to the other
configuration stores.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Coroutine
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
from ivymux.config_store.durable_store import FOLDER, DurableStore, DurableStoreError, sync_folder
from ivymux.config_store.messages import PROTOCOL_VERSION, Greeting, ReplicaMessage
from ivymux.config_store.records import ReplicatedSetting, address_of
from ivymux.config_store.replica import Replica
from ivymux.config_store.timing import LEASE_S
from ivymux.data_plane.limits import Address
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import Connection, Connector, Listener, TransportError
from ivymux.transport.frames import Message

TICK = 0.05  # seconds
ENDS_BEFORE = 1.0  # seconds before the end of `grace` at which a process that holds a copy ends all the same
LOOK_TO_END = 0.02  # seconds between looks whether it may
PUT_WAIT = 0.85  # seconds for which a call of the operator may wait here; a caller goes on after one
MAX_QUEUE = 5000  # actions that may wait for the disk
MAX_CORES = 32  # core machines that are dialled
MAX_ASKED = 4000  # calls of registries that are under way

log = Log("config_store")


class ConfigStore:
    def __init__(self, settings: Settings) -> None:
        """Raises DurableStoreError."""
        self.settings = settings
        if settings.data_path is None:
            raise DurableStoreError(
                "self_entity.data_path: a configuration store needs a disk; name its folder"
            )
        self.store = DurableStore(settings.data_path)
        seeds = tuple(dict.fromkeys(a.host for a in settings.seed_addresses))
        durable = self.store.load(settings.ip, settings.is_initial_start, seeds)
        sync_folder(settings.data_path)
        sync_folder(settings.data_path / FOLDER)
        self.replica = Replica(durable, time.monotonic())
        self.disk = ThreadPoolExecutor(1)
        self.waiting: deque[Action] = deque()  # what rests on a write that is not done
        self.writing: list[Persist] = []  # what the disk is at
        self.resting: list[Action] = []  # what goes out once it is done
        self.peers: dict[str, Connector] = {}
        self.listener = Listener(self.heard, on_disconnect=self.lost)
        self.registries: set[Connection] = set()  # that listen
        self.calls: dict[int, asyncio.Future[None]] = {}
        self.number = 0
        self.published: Publish | None = None
        self.cores: list[str] = []
        self.spoilt = 0
        self.other_versions: set[str] = set()  # peers that speak another version of the protocol
        self.ending = False
        self.tasks: set[asyncio.Task[None]] = set()
        members = durable.epoch_record.members if durable.epoch_record else ()
        for address in (*seeds, *(address_of(member) for member in members)):
            self.meet(address)
        where = f"epoch {durable.epoch_record.number}" if durable.epoch_record else "no epoch"
        version = durable.state.version if durable.state else "none"
        log.info(f"starts as {durable.identity} with {where}, version {version}.")

    async def start(self) -> None:
        await self.listener.start(Address(self.settings.ip, self.settings.config_store_port))
        self.spawn(self.run())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        while not self.ending:
            self.carry(self.replica.tick(time.monotonic()))
            self.tell_cores()
            await asyncio.sleep(TICK)

    def meet(self, address: str) -> None:
        """Dial another core machine's configuration store from now on."""
        if address != self.settings.ip and address not in self.peers and len(self.peers) < MAX_CORES:
            self.peers[address] = Connector(
                Address(address, self.settings.config_store_port), self.heard, on_connect=self.greet
            )

    def greet(self, line: Connection) -> None:
        greeting = Greeting(self.replica.identity, self.settings.ip, PROTOCOL_VERSION)
        line.send(messages.encode(greeting))
        self.replica.on_peer_connected()

    # --- messages ------------------------------------------------------------------------------------

    def heard(self, line: Connection, message: Message) -> None:
        if messages.TAG in message:
            self.heard_replica(line, message)
            return
        kind = message.get("k")
        if kind == "desk":
            self.welcome_registry(line)
        elif kind in calls.TAGS:
            if len(self.tasks) > MAX_ASKED:
                line.answer(message, ok=False)
            else:
                self.spawn(self.asked(line, message))
        elif kind == "get":
            self.get(line, message)

    def heard_replica(self, line: Connection, message: Message) -> None:
        try:
            typed = messages.decode(message)
            if isinstance(typed, Greeting):
                self.greeted(line, typed)
            elif isinstance(line.peer, str):
                self.carry(self.replica.handle(time.monotonic(), line.peer, typed))
        except ValueError as error:
            self.spoilt += 1
            if self.spoilt in (1, 10, 100, 1000):
                log.info(
                    f"a message that no configuration store sends was left: {error} ({self.spoilt} so far)."
                )

    def greeted(self, line: Connection, greeting: Greeting) -> None:
        if greeting.version != PROTOCOL_VERSION:
            if greeting.address not in self.other_versions:
                self.other_versions.add(greeting.address)
                log.info(
                    f"{greeting.address} speaks version {greeting.version} of the protocol, this machine"
                    f" {PROTOCOL_VERSION}: it is not heard; start the same release on both."
                )
            return
        line.peer = greeting.address
        self.meet(greeting.address)

    def welcome_registry(self, line: Connection) -> None:
        self.registries.add(line)
        if self.published is not None:
            line.send(self.news(self.published))
        for note in self.replica.record_replication.settings.values():
            line.send(self.note(note))
        line.send({"k": "cores", "l": self.cores})

    def lost(self, line: Connection) -> None:
        self.registries.discard(line)

    def news(self, published: Publish) -> Message:
        return {"k": "config", "v": published.version, "t": published.text}

    def note(self, note: ReplicatedSetting) -> Message:
        return {"k": "note", "name": note.name, "v": note.version, "t": note.text}

    def tell_registries(self, message: Message) -> None:
        for registry in self.registries:
            registry.send(message)

    def tell_cores(self) -> None:
        """The core machines there are, for who asks the registries."""
        record = self.replica.known_epoch
        there = {address_of(m) for m in record.members} if record is not None else set()
        there |= {a for a, p in self.peers.items() if p.is_connected} | {self.settings.ip}
        cores = sorted(there)
        if cores != self.cores:
            self.cores = cores
            for core in cores:
                self.meet(core)
            self.tell_registries({"k": "cores", "l": cores})
        for address, peer in list(self.peers.items()):
            gone = (
                peer.failed_attempts > 40
                and address not in cores
                and all(address != s.host for s in self.settings.seed_addresses)
            )
            if gone:
                peer.close()
                del self.peers[address]

    # --- actions -------------------------------------------------------------------------------------

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            behind = self.waiting or self.writing or isinstance(action, Persist)
            if behind and not may_overtake(action, [*self.writing, *self.waiting]):
                self.waiting.append(action)
            else:
                self.act(action)
        if len(self.waiting) > MAX_QUEUE:
            log.info("the disk does not answer; this process ends.")
            raise SystemExit(3)
        if self.waiting and not self.writing:
            self.write()

    def write(self) -> None:
        """All that is to be kept goes into one commit; what rests on any of it follows in its order."""
        while self.waiting and not isinstance(self.waiting[0], Persist):
            self.act(self.waiting.popleft())
        if not self.waiting:
            return
        self.writing = [a for a in self.waiting if isinstance(a, Persist)]
        self.resting = [a for a in self.waiting if not isinstance(a, Persist)]
        self.waiting.clear()
        done = asyncio.get_running_loop().run_in_executor(self.disk, self.store.write, self.writing)
        done.add_done_callback(self.written)

    def written(self, done: asyncio.Future[None]) -> None:
        self.writing = []
        error = done.exception() if not done.cancelled() else None
        if error is not None:
            # What this machine has said so far holds; it may say nothing new that rests on this disk.
            log.info(f"the disk failed: {error}; this process ends.")
            asyncio.get_running_loop().call_soon(self.fail)
            return
        resting, self.resting = self.resting, []
        for action in resting:
            self.act(action)
        self.write()

    def fail(self) -> None:
        raise SystemExit(3)

    def act(self, action: Action) -> None:
        match action:
            case Send():
                self.send(action)
            case Complete():
                call = self.calls.pop(action.call, None)
                if call is not None and not call.done():
                    call.set_result(None)
            case Publish():
                self.published = action
                self.tell_registries(self.news(action))
            case PublishSetting():
                self.tell_registries(self.note(action.setting))
            case LogLine():
                log.info(f"{action.text}.")

    def send(self, action: Send) -> None:
        if action.to == self.settings.ip:
            asyncio.get_running_loop().call_soon(self.hear_self, action.message)
            return
        message = messages.encode(action.message)
        if action.to == EVERYONE:
            for peer in self.peers.values():
                peer.send(message)
            return
        self.meet(action.to)
        known = self.peers.get(action.to)
        if known is not None:
            known.send(message)

    def hear_self(self, message: ReplicaMessage) -> None:
        self.carry(self.replica.handle(time.monotonic(), self.settings.ip, message))

    # --- calls of registries --------------------------------------------------------------------------

    def leader(self) -> str | None:
        """The address of who leads, as last heard, where that is not long ago."""
        replica = self.replica
        if replica.last_primary and time.monotonic() - replica.primary_seen_at < 2 * LEASE_S:
            return address_of(replica.last_primary)
        return None

    async def asked(self, line: Connection, message: Message) -> None:
        """A call that who leads answers: this machine, or another.  Answered within PUT_WAIT."""
        until = time.monotonic() + float(message.get("w") or PUT_WAIT)
        while time.monotonic() < until:
            if (told := await self.try_call(message, until)) is not None:
                line.answer(message, **told)
                return
            await asyncio.sleep(0.04)
        line.answer(message, ok=False)

    async def try_call(self, message: Message, until: float) -> Message | None:
        """What is said of a call; None where nobody who leads can be reached, or did not answer in time."""
        self.number += 1
        number = self.number
        call: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.calls[number] = call
        try:
            reply = self.replica.handle_call(time.monotonic(), number, calls.decode(message))
            if reply is not None:
                self.carry(reply.actions)
                step_downs = self.replica.step_downs
                while reply.wait and not call.done():
                    if time.monotonic() >= until or self.replica.step_downs != step_downs:
                        return None
                    await asyncio.wait([call], timeout=0.05)
                return reply.answer
        except ValueError as error:
            return {"ok": False, "why": str(error)}
        finally:
            self.calls.pop(number, None)
        first = self.leader()
        if first is None or message.get("passed"):
            return None
        peer = self.peers.get(first)
        left = until - time.monotonic()
        if peer is None or not peer.is_connected or left <= 0.02:
            return None
        passed = {**{k: v for k, v in message.items() if k != "n"}, "passed": True, "w": left}
        try:
            told = await peer.call(passed, left)
        except TransportError:
            return None
        return {k: v for k, v in told.items() if k != "re"} if told.get("ok") is True else None

    def get(self, line: Connection, message: Message) -> None:
        if self.replica.may_serve(time.monotonic()):
            state = self.replica.state
            have = state is not None and state.version >= 0
            line.answer(
                message, ok=True, v=state.version if state else -1, t=state.text if state and have else ""
            )
            return
        self.spawn(self.get_there(line, message))

    async def get_there(self, line: Connection, message: Message) -> None:
        first = self.leader()
        peer = self.peers.get(first) if first is not None and not message.get("passed") else None
        if peer is not None and peer.is_connected:
            try:
                told = await peer.call({"k": "get", "passed": True}, 0.7)
                line.answer(message, ok=told.get("ok"), v=told.get("v"), t=told.get("t"))
                return
            except TransportError:
                pass
        line.answer(message, ok=False)

    async def stop(self) -> None:
        """What this machine holds goes over to others before it ends, for as long as `grace` allows."""
        until = time.monotonic() + max(0.0, self.settings.shutdown_grace_s - ENDS_BEFORE)
        self.carry(self.replica.leave(time.monotonic()))
        while not self.replica.may_exit() and time.monotonic() < until:
            await asyncio.sleep(LOOK_TO_END)
        if not self.replica.may_exit():
            log.info("ends with a copy that no other machine could take over within `grace`.")
        self.ending = True
        for peer in self.peers.values():
            peer.close()
        self.listener.close()
