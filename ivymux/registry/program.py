"""The registry's process: outside calls, held connections to the doors and to its own machine's store."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ivymux.config_store.calls import Call as StoreCall
from ivymux.config_store.calls import PutConfiguration, PutSetting, encode
from ivymux.config_store.history import Identity
from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.limits import Address, Bounds
from ivymux.data_plane.server import Server
from ivymux.fault_injection import TRIALS
from ivymux.idempotency import CONVERSATIONS
from ivymux.registry.backend_records import QUIESCING, UP, BackendRecords, CallError
from ivymux.registry.outlier_detection import OutlierDetector
from ivymux.registry.proxy_reachability import ProxyReachability
from ivymux.registry.trial_endpoints import TrialEndpoints
from ivymux.routing_config.route_plan import MAX_TEXT_BYTES, RoutingConfigError
from ivymux.runtime.log import Log
from ivymux.runtime.settings import Settings
from ivymux.transport.connection import Connection, Connector, Listener, TransportError
from ivymux.transport.frames import Message, encode_frame
from ivymux.transport.http_calls import (
    JSON,
    HttpCallDispatcher,
    HttpCallFrontend,
    HttpRequest,
    endpoint,
    error_answer,
)

SILENT_BEATS = 2.3  # beats without a word after which a backend counts as lost
CALL = 0.95  # seconds for which a call of the operator may take; after one it goes to another machine
APPLIED_WAIT = 0.3  # of that, the most that is waited for doors to have a configuration in force
HEARD_WAIT = 0.45  # seconds for which a call waits until the doors have heard
SWEEP = 0.25
MAX_DOUBT = 10_000  # failures in one message of a door
TOGETHER = 0.05  # seconds: doors that come and go within them are told of in one message
MAX_BEAT = 16 * 1024  # bytes

PASS = 0.88  # seconds for which a door's call about an action may take here
MAX_PASSING = 4000
DOORS_PART = 0.4  # of the descriptors, that doors may hold

NOT_REACHED = "this machine does not reach the doors just now; call another core machine"

log = Log("registry")


def not_taken(version: int, told: Message) -> Answer:
    """What an operator hears of a change that is not in force and never was."""
    if told["outcome"] == Identity.CONFLICT.value:
        digests = f"digest {told['known_digest']}, this one {told['digest']}"
        why = f"version {version} was taken with other content ({digests})"
        return error_answer(409, f"{why}; read the configuration, and send the change under a higher version")
    said = {
        "config_version": version, "outcome": told["outcome"], "digest": told["digest"],
        "held_version": told["held_version"], "held_digest": told["known_digest"],
    }  # fmt: skip
    return Answer(200, msgspec.json.encode(said), JSON)


def note(name: str, version: int, text: str) -> Message:
    return {"k": "note", "name": name, "v": version, "t": text}


@dataclass(slots=True, eq=False)
class DoorLine:
    """A door that holds a connection here."""

    line: Connection
    id: str
    address: str
    port: int
    zone: str
    came: float  # since when it is in touch with some core machine, steady seconds
    acked: int = 0  # the last change that it has acknowledged
    has: int = -1  # the version of the configuration that it has
    waiters: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)

    def told(self, now: float) -> list[Any]:
        """As doors hear of it: its place, and for how many seconds it has been there."""
        return [self.id, self.address, self.port, self.zone, round(now - self.came, 3)]


class Registry(TrialEndpoints):
    def __init__(self, settings: Settings) -> None:
        self.max_trial_s = settings.max_trial_s
        self.settings = settings
        self.run_id = secrets.token_hex(6)  # another run's numbers mean nothing here
        self.steady_unix = time.time() - time.monotonic()
        self.backends = BackendRecords(SILENT_BEATS * settings.heartbeat_period_s)
        self.doors: dict[Connection, DoorLine] = {}
        self.reachability = ProxyReachability()
        # Of its descriptors a part is for doors, the rest for outside calls.
        most_doors = max(64, int(settings.fd_limit * DOORS_PART))
        self.listener = Listener(self.heard, on_disconnect=self.lost, max_connections=most_doors)
        own = Address(settings.ip, settings.config_store_port)
        self.config_store = Connector(
            own, self.from_config_store, on_connect=lambda line: line.send({"k": "desk"})
        )
        self.version = -1
        self.text = ""
        self.applied: list[tuple[int, asyncio.Future[None]]] = []  # who waits for all doors, and for what
        self.packed = b""  # the configuration's news, encoded once
        self.stirred: dict[str, tuple[DoorLine, bool]] = {}  # doors whose coming or going is not told yet
        self.stirred_at = 0.0
        self.outliers = OutlierDetector()
        self.shunned = 0
        self.stirring: asyncio.TimerHandle | None = None
        self.cores: list[str] = [settings.ip]
        self.http_calls = HttpCallDispatcher(self)
        calls = min(settings.fd_limit - 200 - most_doors, 2000)
        bounds = Bounds.from_limits(max(64, calls), settings.memory_mb)
        self.server = Server(
            HttpCallFrontend(self, MAX_TEXT_BYTES),
            settings.listen_addresses["control_addr"],
            bounds,
            self.http_calls.as_host(),
        )
        self.notes: dict[str, tuple[int, str]] = {}  # settings of the system's own, by name
        self.passing: set[asyncio.Task[None]] = set()  # doors' calls about actions
        self.spoilt = 0
        self.ending = False
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Raises OSError."""
        await self.listener.start(Address(self.settings.ip, self.settings.registry_port))
        await self.server.start()
        self.sweeper = asyncio.get_running_loop().create_task(self.sweep())
        log.info(f"takes calls on {self.server.listen.host}:{self.server.listen.port}.")

    async def sweep(self) -> None:
        while not self.ending:
            await asyncio.sleep(SWEEP)
            before = self.backends.last_change
            if self.backends.expire(time.monotonic()):
                self.tell_since(before)

    # --- doors -----------------------------------------------------------------------------------------

    def heard(self, line: Connection, message: Message) -> None:
        try:
            self.hear(line, message)
        except (KeyError, TypeError, ValueError) as error:
            self.spoilt += 1
            if self.spoilt in (1, 10, 100, 1000):
                log.info(f"invalid message from a proxy, connection closed: {error} ({self.spoilt} so far).")
            line.abort()

    def hear(self, line: Connection, message: Message) -> None:
        kind = message["k"]
        if kind == "door":
            self.welcome(line, message)
            return
        door = self.doors.get(line)
        if door is None:
            return
        if kind == "ack":
            door.acked = max(door.acked, int(message["n"]))
            self.release(door)
        elif kind == "have":
            door.has = max(door.has, int(message["v"]))
            self.release_applied()
        elif kind == "want" and self.version >= 0:
            line.write(self.packed)
        elif kind == "doubt":
            for id, count in message["l"]:
                self.doubted(door, str(id), int(count))
        elif kind == "trial":
            self.trial_service().on_proxy_message(line, message, door.id, door.zone)
        elif kind in ("claim", "end"):
            if len(self.passing) >= MAX_PASSING:
                line.answer(message, ok=False)
            else:
                self.spawn(self.pass_on(line, message))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.passing.add(task)
        task.add_done_callback(self.passing.discard)

    async def pass_on(self, line: Connection, message: Message) -> None:
        """A door's call about an action goes to who leads the configuration stores."""
        asked = {name: value for name, value in message.items() if name != "n"}
        try:
            told = await self.config_store.call(asked, PASS)
        except TransportError:
            told = {"ok": False}
        line.answer(message, **{name: value for name, value in told.items() if name != "re"})

    def release(self, door: DoorLine) -> None:
        due = [w for w in door.waiters if w[0] <= door.acked]
        door.waiters = [w for w in door.waiters if w[0] > door.acked]
        for _, waiting in due:
            if not waiting.done():
                waiting.set_result(None)

    def release_applied(self) -> None:
        """Calls that wait until all doors have a configuration."""
        least = min((door.has for door in self.doors.values()), default=1 << 62)
        for version, waiting in self.applied:
            if version <= least and not waiting.done():
                waiting.set_result(None)

    async def all_apply(self, version: int, most: float) -> None:
        """Until each door that is connected has acknowledged a configuration, or `most` seconds are over."""
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.applied.append((version, waiting))
        self.release_applied()
        await asyncio.wait([waiting], timeout=max(0.0, most))
        self.applied.remove((version, waiting))

    def welcome(self, line: Connection, message: Message) -> None:
        """A door that comes: what it lacks, and the others are told of it."""
        now = time.monotonic()
        door = DoorLine(
            line, str(message["id"]), str(message["ip"]), int(message["port"]), str(message["zone"]),
            now - max(0.0, float(message.get("age", 0.0))),
        )  # fmt: skip
        news = self.backends.changes_since(int(message["n"]), now) if message["run"] == self.run_id else None
        self.doors[line] = door
        self.reachability.on_connect(door.address)
        line.send(
            {
                "k": "here", "run": self.run_id, "n": self.backends.last_change, "whole": news is None,
                "i": self.backends.encode_all(now) if news is None else news,
                "doors": [d.told(now) for d in self.doors.values()],
                "cores": self.cores, "t": self.steady_unix + now, "v": self.version,
                "zone": self.settings.zone,
            }
        )  # fmt: skip
        for name, (version, text) in self.notes.items():
            line.send(note(name, version, text))
        self.stir(door, True)

    def stir(self, door: DoorLine, on: bool) -> None:
        """A door has come or gone.  The first is told of at once, those close behind it together: of a fleet
        that starts at the same moment each door would else get as many messages as there are doors.
        """
        self.stirred[door.id] = door, on
        if self.stirring is None:
            wait = self.stirred_at + TOGETHER - time.monotonic()
            if wait <= 0:
                self.tell_stirred()
            else:
                self.stirring = asyncio.get_running_loop().call_later(wait, self.tell_stirred)

    def tell_stirred(self) -> None:
        self.stirring, self.stirred_at = None, time.monotonic()
        stirred, self.stirred = self.stirred, {}
        come = [d.told(self.stirred_at) for d, on in stirred.values() if on]
        left = [id for id, (_, on) in stirred.items() if not on]
        told = encode_frame({"k": "doors", "on": come, "off": left})
        for door in self.doors.values():
            if len(stirred) > 1 or door.id not in stirred:  # one that comes has just been told of itself
                door.line.write(told)

    def lost(self, line: Connection) -> None:
        door = self.doors.pop(line, None)
        if door is None:
            return
        self.reachability.on_disconnect(door.address, time.monotonic())
        for _, waiting in door.waiters:
            if not waiting.done():
                waiting.set_result(None)
        self.release_applied()
        if any(d.id == door.id for d in self.doors.values()):
            return
        self.stir(door, False)

    def doubted(self, door: DoorLine, id: str, count: int) -> None:
        """Failures that a door met at a backend.  Raises ValueError for what no door sends."""
        if not 0 < count < MAX_DOUBT:
            raise ValueError("a doubt")
        record = self.backends.records.get(id)
        if record is None or record.state != UP:
            return
        peers = [
            r.id for r in self.backends.records.values() if r.service == record.service and r.state == UP
        ]
        span = self.outliers.report(door.id, id, count, len(self.doors), peers, time.monotonic())
        if span:
            self.shunned += 1
            if self.shunned in (1, 10, 100, 1000):
                log.info(f"doors leave backend {id} alone for {span:g} s: it fails ({self.shunned} so far).")
            told = encode_frame({"k": "shun", "id": id, "for": span})
            for other in self.doors.values():
                other.line.write(told)

    def tell_since(self, before: int) -> None:
        """Changes of the register after a number go to all doors, encoded once."""
        lines = self.backends.changes_since(before, time.monotonic()) or []
        data = encode_frame({"k": "news", "f": before, "n": self.backends.last_change, "i": lines})
        for door in self.doors.values():
            door.line.write(data)

    async def all_heard(self, number: int) -> bool:
        """Until each door that is connected has acknowledged a change, or HEARD_WAIT is over; whether half of
        the doors that there may be have.
        """
        waits = []
        for door in self.doors.values():
            if door.acked < number:
                waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
                door.waiters.append((number, waiting))
                waits.append(waiting)
        if waits:
            await asyncio.wait(waits, timeout=HEARD_WAIT)
        heard = [door.address for door in self.doors.values() if door.acked >= number]
        return self.reachability.is_sufficient(heard, time.monotonic())

    # --- the configuration store -----------------------------------------------------------------------

    def from_config_store(self, line: Connection, message: Message) -> None:
        kind = message.get("k")
        if kind == "config":
            version, text = int(message["v"]), str(message["t"])
            if version > self.version:
                self.version, self.text = version, text
                self.packed = encode_frame({"k": "text", "v": version, "t": text})
                told = encode_frame({"k": "config", "v": version})
                for door in self.doors.values():
                    door.line.write(told)
        elif kind == "note":
            name, version, text = str(message["name"]), int(message["v"]), str(message["t"])
            if version > self.notes.get(name, (-1, ""))[0]:
                self.notes[name] = version, text
                data = encode_frame(note(name, version, text))
                for door in self.doors.values():
                    door.line.write(data)
                if name == TRIALS:
                    self.trial_service().apply(text)
        elif kind == "cores":
            cores = [str(c) for c in message["l"]]
            if cores != self.cores:
                self.cores = cores
                told = encode_frame({"k": "cores", "l": cores})
                for door in self.doors.values():
                    door.line.write(told)

    # --- outside calls -------------------------------------------------------------------------------------

    @endpoint("PUT", "/instances/{}")
    async def beat(self, request: HttpRequest) -> Answer:
        if len(request.body) > MAX_BEAT:
            return error_answer(413, f"a call of {len(request.body)} bytes; {MAX_BEAT} at most")
        before = self.backends.last_change
        try:
            changed = self.backends.heartbeat(
                request.name, msgspec.json.decode(request.body), time.monotonic()
            )
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return error_answer(400, "the body is no whole JSON")
        except CallError as error:
            return error_answer(400, str(error))
        if changed:
            self.tell_since(before)
        record = self.backends.records[request.name]
        if changed or record.state == QUIESCING:  # also where an earlier call of the same was cut short
            reached = await self.all_heard(record.change_number)
        else:
            connected = [door.address for door in self.doors.values()]
            reached = self.reachability.is_sufficient(connected, time.monotonic())
        if not reached:
            return error_answer(503, NOT_REACHED)
        own = self.server.listen
        return Answer(200, msgspec.json.encode({"beat_target": f"{own.host}:{own.port}"}), JSON)

    @endpoint("DELETE", "/instances/{}")
    async def leave(self, request: HttpRequest) -> Answer:
        before = self.backends.last_change
        if self.backends.deregister(request.name, time.monotonic()):
            self.tell_since(before)
        if not await self.all_heard(self.backends.last_change):
            return error_answer(503, NOT_REACHED)
        return Answer(200, b"{}", JSON)

    @endpoint("PUT", "/configuration")
    async def put(self, request: HttpRequest) -> Answer:
        from ivymux.routing_config.validation import (
            parse_route_plan,  # it takes long to import: not at the start
        )

        try:
            plan = parse_route_plan(request.body)
            text = request.body.decode()
        except RoutingConfigError as error:
            return error_answer(400, str(error))
        except UnicodeDecodeError:
            return error_answer(400, "the configuration is not UTF-8")
        began = time.monotonic()
        told = await self.stored(PutConfiguration(plan.version, text))
        if isinstance(told, Answer):
            return told
        if told["outcome"] != Identity.TAKEN.value:
            return not_taken(plan.version, told)
        # It holds whatever the doors do; but those in touch have it in force before the operator hears so.
        await self.all_apply(plan.version, min(APPLIED_WAIT, CALL - (time.monotonic() - began)))
        taken = {"config_version": plan.version, "outcome": told["outcome"], "digest": told["digest"]}
        return Answer(200, msgspec.json.encode(taken), JSON)

    async def stored(self, call: StoreCall) -> Message | Answer:
        """Have a change taken by the core: what it says of it, or what its operator is told instead."""
        try:
            told = await self.config_store.call(encode(call), CALL)
        except TransportError as error:
            return error_answer(503, f"the store of configuration does not answer: {error}; repeat the call")
        if not told.get("ok"):
            return error_answer(503, "no core machine can take a change just now; repeat the call")
        return told

    @endpoint("GET", "/configuration")
    async def get(self, request: HttpRequest) -> Answer:
        try:
            told = await self.config_store.call({"k": "get"}, 0.9)
        except TransportError as error:
            return error_answer(503, f"the store of configuration does not answer: {error}; repeat the call")
        if not told.get("ok"):
            return error_answer(
                503, "no core machine can answer for the newest configuration just now; repeat the call"
            )
        if int(told["v"]) < 0:
            return error_answer(404, "there is no configuration yet; send one by PUT /configuration")
        return Answer(200, str(told["t"]).encode(), JSON)

    @endpoint("PUT", "/conversations")
    async def put_conversations(self, request: HttpRequest) -> Answer:
        from ivymux.idempotency.settings import ConversationSettingsError
        from ivymux.idempotency.validation import read  # it takes long to import: not at the start

        try:
            terms = read(request.body)
            text = request.body.decode()
        except ConversationSettingsError as error:
            return error_answer(400, str(error))
        told = await self.stored(PutSetting(CONVERSATIONS, terms.version, text))
        if isinstance(told, Answer):
            return told
        if told.get("taken") is False:
            why = f"version {terms.version} was taken with other settings; send these under a higher one"
            return error_answer(409, why)
        return Answer(200, msgspec.json.encode({"settings_version": terms.version}), JSON)

    @endpoint("GET", "/conversations")
    async def get_conversations(self, request: HttpRequest) -> Answer:
        """As this machine knows them; a core machine that is cut off may know older ones."""
        _, text = self.notes.get(CONVERSATIONS, (-1, ""))
        if not text:
            return error_answer(404, "there are no settings of conversations; the defaults are in force")
        return Answer(200, text.encode(), JSON)

    async def stop(self) -> None:
        """Calls that are on their way are answered; doors learn of it by their connections' end."""
        self.server.stop_listening()
        until = time.monotonic() + 1.0
        while self.http_calls.tasks and time.monotonic() < until:
            await asyncio.wait(self.http_calls.tasks, timeout=0.1)
        self.ending = True
        if self.stirring is not None:
            self.stirring.cancel()
        self.server.close()
        self.listener.close()
        self.config_store.close()
