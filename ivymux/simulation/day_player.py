"""Plays a day against real processes on loopback; records what clients, backends and the operator observe."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

from ivymux.simulation.day_file import (
    BackendQuiesced,
    BackendRun,
    ChangeAnswer,
    ClientAnswer,
    ClientDisconnect,
    ClientRequest,
    ConfigurationChange,
    ConfigurationRead,
    CrashBackend,
    Day,
    Event,
    FreezeMachine,
    KillMachine,
    Observation,
    ProcessEnd,
    ProcessUse,
    QuiesceBackend,
    ReadinessChange,
    RecorderStall,
    ReloadMachine,
    RunEnd,
    SendCrowd,
    SpoilAnswers,
    StartMachine,
)  # fmt: skip
from ivymux.simulation.local_cluster import (
    ENTRY_POINT,
    PORTS_BY_NAME,
    LocalCluster,
    build_configuration,
    local_cluster,
)
from ivymux.simulation.misbehaving_clients import MISBEHAVIOURS, Crowd
from standins import backend as standin

FIRST_VERSION = 1  # of the configuration that is in force when a day begins
FIRST_ROUTES = {"read": "archive", "sign": "desk"}
MAX_BODY_CHARS = 500  # of an answer's body that are recorded
SLOW_WORK_S = 1.5  # time that a slow backend takes for a request in addition to the day's `work`
MIN_STALL_S = 0.15  # delay of this process that is recorded as a stall
STALL_CHECK_INTERVAL_S = 0.05
READINESS_POLL_INTERVAL_S = 0.5
HANG_TIMEOUT_S = 60.0  # after a day's last event


class HistoryObserver(standin.RequestObserver):
    """Records the requests of one backend, and spoils its next answers as ordered."""

    def __init__(self, player: Player, name: str, service: str) -> None:
        self.player, self.name, self.service = player, name, service
        self.pending_faults: list[str] = []  # one for each of the next requests
        self.faults: dict[str, str] = {}  # by request id

    def on_request(self, request: standin.ExecutedRequest) -> float:
        fault = self.pending_faults.pop(0) if self.pending_faults else ""
        self.faults[request.id] = fault
        extra_work_s = self.player.extra_work_s.get(request.id, 0.0)
        extra_work_s += SLOW_WORK_S if fault == "slow" else 0.0
        remaining_ms = request.headers.get("time-remaining")
        self.player.observations.append(
            BackendRun(
                at=self.player.now(),
                id=request.id,
                service=self.service,
                backend=self.name,
                method=request.method,
                target=request.target,
                tenant=request.headers.get("tenant-name", ""),
                key="authorization" in request.headers,
                done=fault != "full",
                remaining=int(remaining_ms) / 1000 if remaining_ms else -1.0,
                work=self.player.day.work + extra_work_s,
            )
        )
        return extra_work_s

    def on_end(self, request: standin.ExecutedRequest, completed: bool) -> None:
        self.player.observations.append(RunEnd(self.player.now(), request.id, self.name, completed))

    def make_answer(self, request: standin.ExecutedRequest) -> bytes | None:
        """Return the bytes of a spoilt or a long answer; None for an ordinary one."""
        fault = self.faults.pop(request.id, "")
        if fault == "lost":
            return standin.CLOSE_MARKER
        if fault == "unsealed":
            return standin.Backend.encode_answer(200, request.id, b"no seal")
        if fault == "full":
            return standin.Backend.encode_answer(503, request.id, headers="Not-Executed: 1\r\n")
        if answer_bytes := self.player.answer_bytes.get(request.id, 0):
            body = f"{self.service} {request.target}".encode().ljust(answer_bytes)
            seal = f"Server-Seal: seal-{request.id}\r\n"
            return standin.Backend.encode_answer(200, request.id, body, seal)
        return None


class Player:
    """Plays one day on one cluster and records what is observed."""

    def __init__(self, day: Day, events: Sequence[Event], cluster: LocalCluster) -> None:
        self.day, self.events, self.cluster = day, events, cluster
        self.loop = asyncio.get_running_loop()
        requests = [event for event in events if isinstance(event, ClientRequest)]
        self.extra_work_s = {event.id: event.work for event in requests}
        self.answer_bytes = {event.id: event.answer for event in requests if event.answer}
        self.began_at = 0.0
        self.observations: list[Observation] = []
        self.backends: dict[str, standin.Backend] = {}
        self.configurations: dict[int, bytes] = {}  # text by version
        self.observers: dict[str, HistoryObserver] = {}  # by backend
        self.lives: Counter[str] = Counter()  # of backends by name
        self.down: set[str] = set()  # names of backends that have crashed or leave
        self.starting: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)  # by machine's address

    def now(self) -> float:
        """Return the seconds since the beginning of the day."""
        return round(self.loop.time() - self.began_at, 4)

    async def play(self) -> list[Observation]:
        """Start the cluster, perform the day's events and return the observations."""
        self.began_at = self.loop.time()
        await self.prepare()
        self.observations.clear()
        self.began_at = self.loop.time()
        self.observations.append(ChangeAnswer(0.0, 0.0, FIRST_VERSION, 200))
        proxies = range(len(self.cluster.proxy_ips))
        monitors = [self.loop.create_task(self.monitor_readiness(proxy)) for proxy in proxies]
        monitors.append(self.loop.create_task(self.monitor_stalls()))
        monitors.append(self.loop.create_task(self.cluster.monitor.sample()))
        tasks = [self.loop.create_task(self.perform_at_its_time(event)) for event in self.events]
        await asyncio.gather(*tasks)
        await self.read_configuration()
        for monitor in monitors:
            monitor.cancel()
        self.record_processes()
        return self.observations

    async def prepare(self) -> None:
        """Start machines and backends, and wait until the first configuration is in force at all proxies."""
        await self.cluster.start_all(initial_start=True)
        for service, count in self.day.services.items():
            for n in range(count):
                await self.start_backend(f"{service}-{n}", service)
        for core in range(self.day.cores):
            if await self.change(ConfigurationChange(0.0, core, FIRST_VERSION, FIRST_ROUTES)) == 200:
                break
        for ip in self.cluster.proxy_ips:
            await self.cluster.wait_until_ready(ip)
            await self.cluster.wait_until_served(ip)
        for backend in self.backends.values():
            backend.executed.clear()

    async def perform_at_its_time(self, event: Event) -> None:
        """Wait for the time of an event and perform it."""
        await asyncio.sleep(max(0.0, self.began_at + event.at - self.loop.time()))
        match event:
            case ClientRequest():
                await self.send_request(event)
            case ConfigurationChange():
                await self.change(event)
            case KillMachine():
                await self.kill(event)
            case StartMachine():
                await self.start(self.machine_ip(event.machine))
            case FreezeMachine():
                await self.freeze(event)
            case ReloadMachine():
                self.cluster.write_settings(self.machine_ip(event.machine), initial_start=False)
                self.cluster.send_signal(self.machine_ip(event.machine), signal.SIGHUP)
            case QuiesceBackend():
                await self.quiesce(event.backend, event.stays)
            case CrashBackend():
                await self.crash(event)
            case SendCrowd():
                await self.send_crowd(event)
            case SpoilAnswers():
                self.observers[event.backend].pending_faults.extend([event.how] * event.count)

    async def start(self, ip: str) -> None:
        """Start a machine, unless it runs; its former processes may still be stopping."""
        async with self.starting[ip]:
            if not self.cluster.is_running(ip):
                await self.cluster.start(ip)

    async def kill(self, event: KillMachine) -> None:
        """Send SIGKILL or SIGTERM to a machine's processes, or kill them and delete their data."""
        ip = self.machine_ip(event.machine)
        async with self.starting[ip]:
            pass  # a process that is being created gets the signal too
        if event.how == "wipe":
            await self.cluster.wipe(ip)
        else:
            await self.cluster.end(ip, signal.SIGTERM if event.how == "term" else signal.SIGKILL)

    async def freeze(self, event: FreezeMachine) -> None:
        """Stop the processes that run on a machine, and let them go on after a while."""
        ip = self.machine_ip(event.machine)
        processes = self.cluster.processes.get(ip, [])
        for process in processes:
            self.cluster.monitor.send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(event.seconds)
        for process in processes:
            self.cluster.monitor.send_signal(process, signal.SIGCONT)

    def record_processes(self) -> None:
        """Record which processes ended by themselves, and what they used."""
        names = {ip: f"core-{n}" for n, ip in enumerate(self.cluster.core_ips)}
        names |= {ip: f"door-{n}" for n, ip in enumerate(self.cluster.proxy_ips)}
        for end in self.cluster.monitor.ends:
            self.observations.append(ProcessEnd(self.now(), names[end.machine], end.role, end.code))
        for (ip, role), peak in self.cluster.monitor.peaks.items():
            use = ProcessUse(self.now(), names[ip], role, round(peak.memory_mb, 1), peak.descriptors)
            self.observations.append(use)

    def machine_ip(self, machine: str) -> str:
        """Return the address of a machine by its name, such as core-0 or door-1."""
        kind, _, number = machine.partition("-")
        ips = self.cluster.core_ips if kind == "core" else self.cluster.proxy_ips
        return ips[int(number)]

    async def monitor_stalls(self) -> None:
        """Record when this process was delayed, as on an overloaded machine."""
        while True:
            before = self.now()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            delay = self.now() - before - STALL_CHECK_INTERVAL_S
            if delay > MIN_STALL_S:
                duration = round(delay + STALL_CHECK_INTERVAL_S, 4)
                self.observations.append(RecorderStall(round(before, 4), duration))

    async def monitor_readiness(self, proxy: int) -> None:
        """Poll a proxy's readiness and record its changes."""
        last_ready = None
        while True:
            ready = await self.cluster.is_ready(self.cluster.proxy_ips[proxy])
            if ready is not last_ready:
                last_ready = ready
                self.observations.append(ReadinessChange(self.now(), proxy, ready))
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    # --- clients ------------------------------------------------------------

    async def send_request(self, event: ClientRequest) -> None:
        """Send a client's request; record its answer, or its disconnect."""
        sent = self.now()
        request = self.cluster.send_request(
            self.cluster.proxy_ips[event.door], event.method, event.path, event.key, Try_Id=event.id,
            Time_Remaining=str(round(event.waits * 1000)), content=b"x" * event.body,
        )  # fmt: skip
        try:
            answer = await (asyncio.wait_for(request, event.leaves) if event.leaves else request)
        except TimeoutError:
            self.observations.append(ClientDisconnect(self.now(), event.id))
            return
        if answer is None:
            self.observations.append(ClientAnswer(self.now(), sent, event.id, 0))
            return
        text = answer.text
        if event.answer and len(text) == event.answer:
            text = text.rstrip()
        self.observations.append(
            ClientAnswer(
                at=self.now(),
                sent=sent,
                id=event.id,
                status=answer.status_code,
                named=answer.headers.get("try-id", ""),
                seal=answer.headers.get("server-seal", ""),
                body=text[:MAX_BODY_CHARS],
            )
        )

    async def send_crowd(self, event: SendCrowd) -> None:
        """Let a crowd send all that it has to, or for as long as the event says."""
        ip, port = self.machine_ip(event.machine), PORTS_BY_NAME[event.port]
        misbehaviour = MISBEHAVIOURS[event.misbehaviour]
        crowd = Crowd(ip, port, misbehaviour, event.connections, event.bytes)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(crowd.join(), event.seconds)
        await crowd.close()

    # --- the operator ------------------------------------------------------------

    async def change(self, event: ConfigurationChange) -> int:
        """Send a configuration, record the answer and return its status."""
        document = build_configuration(event.version, **event.routes)
        document["tenant_table"][0].update(rate_per_s=self.day.rate, burst_size=self.day.burst)
        text = self.configurations[event.version] = json.dumps(document).encode()
        sent = self.now()
        core_ips = self.cluster.core_ips[event.core :] + self.cluster.core_ips[: event.core]
        status, _ = await self.cluster.put_configuration(text, core_ips)
        self.observations.append(ChangeAnswer(self.now(), sent, event.version, status))
        return status

    async def read_configuration(self) -> None:
        """Read the configuration and record whether it equals what was sent."""
        text = await self.cluster.read_configuration()
        version = int(json.loads(text)["config_version"])
        is_same = self.configurations.get(version) == text
        self.observations.append(ConfigurationRead(self.now(), version, is_same))

    # --- backends ------------------------------------------------------------

    async def start_backend(self, name: str, service: str, port: int = 0) -> None:
        """Start a backend whose requests are recorded; each of its lives has an instance id of its own."""
        self.lives[name] += 1
        instance = name if self.lives[name] == 1 else f"{name}-life-{self.lives[name]}"
        backend = self.backends[name] = await self.cluster.start_backend(instance, service, port)
        backend.work_s, backend.keeps_bodies = self.day.work, False
        observer = self.observers[name] = HistoryObserver(self, name, service)
        backend.observer, backend.make_answer = observer, observer.make_answer

    async def quiesce(self, name: str, stays_s: float) -> None:
        """Announce that a backend quiesces, and remove it after `stays_s`."""
        backend = self.backends[name]
        if name in self.down:
            return
        self.down.add(name)
        self.cluster.heartbeat_tasks[backend.instance].cancel()
        sent = self.now()
        await self.cluster.send_heartbeat(backend, "quiescing")
        self.observations.append(BackendQuiesced(self.now(), name, sent))
        await asyncio.sleep(stays_s)
        await self.cluster.remove_backend(backend)

    async def crash(self, event: CrashBackend) -> None:
        """Let a backend end without a word, and start its next life at the same address."""
        backend = self.backends[event.backend]
        if event.backend in self.down:
            return
        self.down.add(event.backend)
        self.cluster.heartbeat_tasks[backend.instance].cancel()
        backend.stop()
        await asyncio.sleep(event.seconds)
        await self.start_backend(event.backend, backend.service, int(backend.address.rpartition(":")[2]))
        self.down.discard(event.backend)


async def play_day(
    day: Day,
    events: Sequence[Event],
    folder: Path,
    entry_point: tuple[str, ...] = ENTRY_POINT,
    environment: dict[str, str] | None = None,
) -> list[Observation]:
    """Return what was observed on a day.  Raises AssertionError with the processes' log if the day hangs."""
    last_event_at = max((event.at for event in events), default=0.0)
    async with local_cluster(
        folder, day.cores, day.doors, timeout_s=last_event_at + HANG_TIMEOUT_S, entry_point=entry_point
    ) as cluster:
        cluster.environment = environment or cluster.environment
        cluster.grace_s = day.grace
        return await Player(day, events, cluster).play()
