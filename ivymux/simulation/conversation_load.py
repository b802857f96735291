"""A busy evening: conversations that act, repeat and read while doors, backends and the leader come and go.

Real processes on loopback, stand-in backends that write down each effect.  What it tells at its end it knows
from outside: what callers were told, and which actions had an effect how often.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from ivymux.simulation.local_cluster import LocalCluster
from standins.backend import Backend, Ran

HOST = "minutes.example"
SERVICES = ("archive", "desk", "store")  # the first is read, the others take actions
ACTIONS = ("desk", "store")
TRIES, PATIENCE = 12, 8.0  # of one action, and seconds
TRY = 1.5  # seconds that a client waits for one answer
EVERY = 2.0  # seconds between troubles
FROZEN = 1.2
LEAST_DOORS = 4
UNKNOWN = "not known"
SETTLED = 1.5  # seconds within which all doors have heard of a backend
KINDS = ("join", "leave", "kill", "freeze", "release")


@dataclass
class Size:
    seconds: float = 600.0
    doors: int = 8
    backends: int = 4  # of each service
    conversations: int = 300
    partners: int = 8
    pause: float = 4.0  # seconds between what one conversation does
    work: float = 0.03


@dataclass
class Told:
    """One action, as its caller has seen it."""

    partner: str
    conversation: str
    key: str
    began: float
    end: str = ""  # done, unknown, refused
    took: float = 0.0
    tries: int = 0


@dataclass
class Evening:
    size: Size
    seed: int
    told: list[Told] = field(default_factory=list)
    reads: Counter[str] = field(default_factory=Counter)
    what: list[tuple[float, str, str]] = field(default_factory=list)  # troubles: when, kind, machine
    serving: list[tuple[float, int]] = field(default_factory=list)
    by: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    effects: Counter[str] = field(default_factory=Counter)
    lives: dict[str, list[float]] = field(default_factory=dict)  # backends: in service from, until

    def report(self) -> dict[str, Any]:
        """What it showed: figures by name."""
        done = [t for t in self.told if t.end == "done"]
        shares = {}
        for partner in sorted({t.partner for t in self.told}):
            own = [t for t in self.told if t.partner == partner]
            shares[partner] = sum(t.end == "done" for t in own) / len(own)
        moved = sum(self.moved(seen) for seen in self.by.values())
        return {
            "actions": len(self.told),
            "answered": len(done),
            "said to be unknown": sum(t.end == "unknown" for t in self.told),
            "refused, not run": sum(t.end == "refused" for t in self.told),
            "doubled": sum(n > 1 for n in self.effects.values()),
            "answered and without effect": sum(not self.effects[t.key] for t in done),
            "refused and with effect": sum(
                bool(self.effects[t.key]) for t in self.told if t.end == "refused"
            ),
            "share answered, least partner": min(shares.values(), default=0.0),
            "share answered, most over least": max(shares.values()) / max(1e-9, min(shares.values())),
            "effects at another backend without need": moved,
            "effects": sum(self.effects.values()),
            "reads": dict(self.reads),
            "troubles": dict(Counter(kind for _, kind, _ in self.what)),
            "tries of an action, mean": sum(t.tries for t in self.told) / max(1, len(self.told)),
            "ms, median": 1000 * sorted(t.took for t in done)[len(done) // 2] if done else 0.0,
            "ms, 99 of 100": 1000 * sorted(t.took for t in done)[int(0.99 * len(done))] if done else 0.0,
        }

    def moved(self, seen: list[tuple[float, str]]) -> int:
        """Effects of one conversation and service at another backend than its last, with no backend that came
        or left since then.
        """
        count = 0
        for (since, one), (at, other) in itertools.pairwise(seen):
            changed = any(
                since - SETTLED < edge < at + SETTLED for life in self.lives.values() for edge in life
            )
            count += one != other and not changed
        return count


def document(size: Size) -> dict[str, Any]:
    return {
        "config_version": 1,
        "route_table": [
            {
                "name": name, "host_name": HOST, "path_prefix": f"/{name}/", "deadline": "2s",
                "route_type": "non_idempotent" if name in ACTIONS else "idempotent", "target": "300ms",
                "service_name": name, "max_attempts": 2,
            }
            for name in SERVICES
        ],
        "service_table": [{"name": name} for name in SERVICES],
        "tenant_table": [
            {"name": f"partner-{n}", "api_keys": [f"key-{n}"], "rate_per_s": 400, "burst_size": 400}
            for n in range(size.partners)
        ],
    }  # fmt: skip


class Play:
    def __init__(self, cluster: LocalCluster, evening: Evening) -> None:
        self.cluster, self.evening, self.size = cluster, evening, evening.size
        self.chance = random.Random(evening.seed)
        self.numbers = itertools.count(1)
        self.serving: list[str] = []
        self.backends: dict[str, list[Backend]] = {name: [] for name in SERVICES}
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    async def run(self) -> None:
        cluster, size = self.cluster, self.size
        await cluster.start_all(initial_start=True)
        for service in SERVICES:
            for n in range(size.backends):
                await self.add(await cluster.start_backend(f"i-{service}-{n}", service))
        await cluster.put_configuration(document(size))
        settings = {"settings_version": 1, "conversation_header": "X-Conversation"}
        while (await cluster.call_core("PUT", cluster.core_ips[0], "/conversations", settings))[0] != 200:
            await asyncio.sleep(0.05)
        for door in cluster.proxy_ips:
            await cluster.wait_until_ready(door)
        self.serving = list(cluster.proxy_ips)
        self.began = time.monotonic()
        for life in self.evening.lives.values():
            life[0] = -1e9
        until = self.began + size.seconds
        weights = [8.0, 6.0] + [1.0] * (size.partners - 2)
        partners = self.chance.choices(range(size.partners), weights, k=size.conversations)
        troubles = asyncio.create_task(self.troubles(until))
        async with asyncio.TaskGroup() as group:
            for n, partner in enumerate(partners):
                group.create_task(self.conversation(n, partner, until))
        await troubles
        for backends in cluster.backends:
            for ran in backends.ran:
                if key := ran.headers.get("idempotency-key"):
                    self.evening.effects[key] += 1

    async def add(self, backend: Backend) -> None:
        backend.work = self.size.work
        self.backends[backend.service].append(backend)
        self.evening.lives[backend.instance] = [self.now()]
        backend.plan = lambda ran, backend=backend: self.seen(ran, backend)  # type: ignore[misc]

    def seen(self, ran: Ran, backend: Backend) -> bytes | None:
        if (name := ran.headers.get("x-conversation")) and "idempotency-key" in ran.headers:
            self.evening.by[f"{name} {backend.service}"].append((self.now(), backend.instance))
        return None

    # --- callers ---------------------------------------------------------------------------------------

    async def conversation(self, number: int, partner: int, until: float) -> None:
        chance = random.Random(f"{self.evening.seed} {number}")
        await asyncio.sleep(chance.uniform(0, self.size.pause))
        while time.monotonic() < until:
            if chance.random() < 0.5:
                await self.act(f"c-{number}", partner, chance.choice(ACTIONS), chance)
            else:
                await self.read(partner, chance)
            await asyncio.sleep(self.size.pause * chance.uniform(0.5, 1.5))

    async def read(self, partner: int, chance: random.Random) -> None:
        for _ in range(3):
            answer = await self.cluster.send_request(
                chance.choice(self.serving), path="/archive/1", key=f"key-{partner}"
            )
            if answer is not None and answer.status_code == 200:
                self.evening.reads["answered"] += 1
                return
            await asyncio.sleep(0.05)
        self.evening.reads["not answered"] += 1

    async def act(self, name: str, partner: int, service: str, chance: random.Random) -> None:
        """One action, repeated as a client does that has a key: after anything but an answer."""
        key = f"{name}-{next(self.numbers)}"
        told = Told(f"partner-{partner}", name, key, self.now())
        self.evening.told.append(told)
        began = time.monotonic()
        told.end = "refused"
        while told.tries < TRIES and time.monotonic() - began < PATIENCE:
            told.tries += 1
            answer = await self.cluster.send_request(
                chance.choice(self.serving), "POST", f"/{service}/{key}", f"key-{partner}", b"yes",
                Idempotency_Key=key, X_Conversation=name, Time_Remaining=str(int(TRY * 1000)),
            )  # fmt: skip
            told.took = time.monotonic() - began
            if answer is not None and answer.status_code < 300:
                told.end = "done"
                return
            if answer is None or answer.status_code not in (429, 503):
                told.end = "unknown"  # it may have run; only an answer takes that back
            if answer is not None and answer.status_code == 502 and UNKNOWN in answer.text:
                return
            after = float(answer.headers.get("retry-after", 0.1)) if answer is not None else 0.1
            await asyncio.sleep(min(1.0, max(0.05, after)))

    # --- troubles ----------------------------------------------------------------------------------------

    async def troubles(self, until: float) -> None:
        number = 0
        lost_leader = False
        while (left := until - time.monotonic()) > EVERY:
            await asyncio.sleep(EVERY)
            number += 1
            if not lost_leader and left < self.size.seconds / 2:
                lost_leader = True
                await self.lose_leader()
                continue
            await self.trouble(self.chance.choice(KINDS), number)
            self.evening.serving.append((self.now(), len(self.serving)))

    async def trouble(self, kind: str, number: int) -> None:
        cluster = self.cluster
        down = [d for d in cluster.proxy_ips if d not in self.serving]
        if kind == "join" or (kind != "release" and len(self.serving) <= LEAST_DOORS):
            if not down:
                return
            kind, door = "join", self.chance.choice(down)
            await cluster.kill(door)
            await cluster.start(door)
            await cluster.wait_until_ready(door)
            self.serving.append(door)
        elif kind == "release":
            service = self.chance.choice(SERVICES)
            old = self.backends[service].pop(0)
            door = f"i-{service}-new-{number}"
            await self.add(await cluster.replace_backend(old, door))
            self.evening.lives[old.instance].append(self.now())
        else:
            door = self.chance.choice(self.serving)
            if kind == "freeze":
                cluster.send_signal(door, signal.SIGSTOP)
                self.serving.remove(door)
                await asyncio.sleep(FROZEN)
                cluster.send_signal(door, signal.SIGCONT)
                self.serving.append(door)
            else:
                self.serving.remove(door)
                cluster.send_signal(door, signal.SIGTERM if kind == "leave" else signal.SIGKILL)
        self.evening.what.append((self.now(), kind, door))

    async def lose_leader(self) -> None:
        leader = self.cluster.primary_ip()
        await self.cluster.kill(leader)
        self.evening.what.append((self.now(), "leader", leader))
        await asyncio.sleep(EVERY)
        await self.cluster.start(leader)
