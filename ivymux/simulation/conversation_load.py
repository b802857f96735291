"""Conversation load test: conversations act, retry and read while proxies, backends and the primary fail.

A conversation is a caller's sequence of reads and actions; its actions carry its name in a header.  Proxies
and core machines are real processes on loopback; stand-in backends record each effect.  The report compares
two outside observations: what callers were answered, and how often each action had an effect.
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
from standins.backend import Backend, ExecutedRequest

HOST = "minutes.example"
SERVICES = ("archive", "desk", "store")  # the first serves reads, the others actions
ACTIONS = ("desk", "store")
MAX_ATTEMPTS, MAX_ACTION_S = 12, 8.0  # attempts of one action, and seconds for which it is retried
ATTEMPT_TIMEOUT_S = 1.5
MAX_READ_ATTEMPTS = 3
DEFAULT_RETRY_AFTER_S = 0.1
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 1.0
FAULT_INTERVAL_S = 2.0
FREEZE_S = 1.2  # for which a proxy is frozen
MIN_SERVING_PROXIES = 4  # with no more than these, a proxy joins instead of another fault
OUTCOME_UNKNOWN_TEXT = "not known"  # in the answer to an action whose outcome is unknown for good
PROPAGATION_S = 1.5  # time within which all proxies know a change of the backends
FAULT_KINDS = ("join", "leave", "kill", "freeze", "release")
# Weights by which conversations are assigned to partners: the first two partners have most of them.
BUSY_PARTNER_WEIGHTS, PARTNER_WEIGHT = [8.0, 6.0], 1.0


@dataclass
class LoadSettings:
    """Size of a load test."""

    duration_s: float = 600.0
    proxies: int = 8
    backends_per_service: int = 4
    conversations: int = 300
    partners: int = 8  # tenants
    pause_s: float = 4.0  # mean time between two steps of one conversation
    work_s: float = 0.03  # that a backend takes for a request


@dataclass
class Action:
    """One action with its idempotency key, as its caller observed it."""

    partner: str
    conversation: str
    key: str
    began_at: float
    outcome: str = ""  # done, unknown, refused
    took_s: float = 0.0
    attempts: int = 0


@dataclass
class LoadRecord:
    """What was observed in a load test; times in seconds from its beginning."""

    settings: LoadSettings
    seed: int
    actions: list[Action] = field(default_factory=list)
    read_counts: Counter[str] = field(default_factory=Counter)
    faults: list[tuple[float, str, str]] = field(default_factory=list)  # time, kind, machine
    serving_proxies: list[tuple[float, int]] = field(default_factory=list)  # time, number
    # Time and backend of each effect, by conversation and service.
    effects: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    effect_counts: Counter[str] = field(default_factory=Counter)  # by action key
    backend_lifetimes: dict[str, list[float]] = field(default_factory=dict)  # in service from, until

    def report(self) -> dict[str, Any]:
        """Return the figures by name."""
        done = [action for action in self.actions if action.outcome == "done"]
        refused = [action for action in self.actions if action.outcome == "refused"]
        shares = self.answered_shares()
        moved = sum(self.count_needless_moves(effects) for effects in self.effects.values())
        times_ms = sorted(1000 * action.took_s for action in done)
        return {
            "actions": len(self.actions),
            "answered": len(done),
            "said to be unknown": sum(action.outcome == "unknown" for action in self.actions),
            "refused, not run": len(refused),
            "doubled": sum(count > 1 for count in self.effect_counts.values()),
            "answered and without effect": sum(not self.effect_counts[action.key] for action in done),
            "refused and with effect": sum(bool(self.effect_counts[action.key]) for action in refused),
            "share answered, least partner": min(shares.values(), default=0.0),
            "share answered, most over least": max(shares.values()) / max(1e-9, min(shares.values())),
            "effects at another backend without need": moved,
            "effects": sum(self.effect_counts.values()),
            "reads": dict(self.read_counts),
            "troubles": dict(Counter(kind for _, kind, _ in self.faults)),
            "tries of an action, mean": sum(a.attempts for a in self.actions) / max(1, len(self.actions)),
            "ms, median": times_ms[len(done) // 2] if done else 0.0,
            "ms, 99 of 100": times_ms[int(0.99 * len(done))] if done else 0.0,
        }

    def answered_shares(self) -> dict[str, float]:
        """Return the share of answered actions of each partner."""
        shares = {}
        for partner in sorted({action.partner for action in self.actions}):
            actions = [action for action in self.actions if action.partner == partner]
            shares[partner] = sum(action.outcome == "done" for action in actions) / len(actions)
        return shares

    def count_needless_moves(self, effects: list[tuple[float, str]]) -> int:
        """Count the effects at another backend than the previous one although no backend joined or left.

        `effects` are those of one conversation at one service.  A change of the backends counts from
        `PROPAGATION_S` before the previous effect until `PROPAGATION_S` after this one.
        """
        count = 0
        for (previous_at, previous), (at, backend) in itertools.pairwise(effects):
            is_membership_changed = any(
                previous_at - PROPAGATION_S < change < at + PROPAGATION_S
                for lifetime in self.backend_lifetimes.values()
                for change in lifetime
            )
            count += previous != backend and not is_membership_changed
        return count


def build_configuration(settings: LoadSettings) -> dict[str, Any]:
    """Build the configuration: one route for each service, one tenant for each partner."""
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
            for n in range(settings.partners)
        ],
    }  # fmt: skip


class LoadTest:
    """Runs conversations and faults on one cluster and fills a record."""

    def __init__(self, cluster: LocalCluster, record: LoadRecord) -> None:
        self.cluster, self.record, self.settings = cluster, record, record.settings
        self.rng = random.Random(record.seed)
        self.action_numbers = itertools.count(1)
        self.serving_proxies: list[str] = []
        self.backends: dict[str, list[Backend]] = {name: [] for name in SERVICES}
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the beginning of the test."""
        return time.monotonic() - self.began_at

    async def run(self) -> None:
        """Start the cluster, run the test and count the effects."""
        settings = self.settings
        await self.prepare()
        self.serving_proxies = list(self.cluster.proxy_ips)
        self.began_at = time.monotonic()
        for lifetime in self.record.backend_lifetimes.values():
            lifetime[0] = -1e9  # long before the first effect: the backend's start is no change
        end = self.began_at + settings.duration_s
        weights = BUSY_PARTNER_WEIGHTS + [PARTNER_WEIGHT] * (settings.partners - len(BUSY_PARTNER_WEIGHTS))
        partners = self.rng.choices(range(settings.partners), weights, k=settings.conversations)
        faults = asyncio.create_task(self.inject_faults(end))
        async with asyncio.TaskGroup() as group:
            for number, partner in enumerate(partners):
                group.create_task(self.run_conversation(number, partner, end))
        await faults
        for backend in self.cluster.backends:
            for ran in backend.executed:
                if key := ran.headers.get("idempotency-key"):
                    self.record.effect_counts[key] += 1

    async def prepare(self) -> None:
        """Start machines and backends, configure the core and wait until all proxies are ready."""
        cluster = self.cluster
        await cluster.start_all(initial_start=True)
        for service in SERVICES:
            for n in range(self.settings.backends_per_service):
                self.add_backend(await cluster.start_backend(f"i-{service}-{n}", service))
        await cluster.put_configuration(build_configuration(self.settings))
        conversation_settings = {"settings_version": 1, "conversation_header": "X-Conversation"}
        await cluster.put_until_answered("/conversations", conversation_settings)
        for ip in cluster.proxy_ips:
            await cluster.wait_until_ready(ip)

    def add_backend(self, backend: Backend) -> None:
        """Include a started backend in the test and record its effects."""
        backend.work_s = self.settings.work_s
        self.backends[backend.service].append(backend)
        self.record.backend_lifetimes[backend.instance] = [self.now()]
        backend.make_answer = lambda ran, backend=backend: self.on_run(ran, backend)  # type: ignore[misc]

    def on_run(self, request: ExecutedRequest, backend: Backend) -> bytes | None:
        """Record an action's effect; None lets the backend answer as usual."""
        if (name := request.headers.get("x-conversation")) and "idempotency-key" in request.headers:
            effect = self.now(), backend.instance
            self.record.effects[f"{name} {backend.service}"].append(effect)
        return None

    # --- callers ---------------------------------------------------------------------------------------

    async def run_conversation(self, number: int, partner: int, end: float) -> None:
        """Act and read in random order until `end`, in monotonic seconds."""
        rng = random.Random(f"{self.record.seed} {number}")
        await asyncio.sleep(rng.uniform(0, self.settings.pause_s))
        while time.monotonic() < end:
            if rng.random() < 0.5:
                await self.perform_action(f"c-{number}", partner, rng.choice(ACTIONS), rng)
            else:
                await self.read(partner, rng)
            await asyncio.sleep(self.settings.pause_s * rng.uniform(0.5, 1.5))

    async def read(self, partner: int, rng: random.Random) -> None:
        """Send a read until it is answered, at most `MAX_READ_ATTEMPTS` times."""
        for _ in range(MAX_READ_ATTEMPTS):
            proxy_ip = rng.choice(self.serving_proxies)
            answer = await self.cluster.send_request(proxy_ip, path="/archive/1", key=f"key-{partner}")
            if answer is not None and answer.status_code == 200:
                self.record.read_counts["answered"] += 1
                return
            await asyncio.sleep(0.05)
        self.record.read_counts["not answered"] += 1

    async def perform_action(self, name: str, partner: int, service: str, rng: random.Random) -> None:
        """Send one action under its key and retry it until it succeeds or its outcome is unknown for good."""
        key = f"{name}-{next(self.action_numbers)}"
        action = Action(f"partner-{partner}", name, key, self.now())
        self.record.actions.append(action)
        began_at = time.monotonic()
        action.outcome = "refused"
        while action.attempts < MAX_ATTEMPTS and time.monotonic() - began_at < MAX_ACTION_S:
            action.attempts += 1
            answer = await self.cluster.send_request(
                rng.choice(self.serving_proxies), "POST", f"/{service}/{key}", f"key-{partner}", b"yes",
                Idempotency_Key=key, X_Conversation=name, Time_Remaining=str(int(ATTEMPT_TIMEOUT_S * 1000)),
            )  # fmt: skip
            action.took_s = time.monotonic() - began_at
            if answer is not None and answer.status_code < 300:
                action.outcome = "done"
                return
            if answer is None or answer.status_code not in (429, 503):
                action.outcome = "unknown"  # it may have run; a later refusal does not change that
            if answer is not None and answer.status_code == 502 and OUTCOME_UNKNOWN_TEXT in answer.text:
                return
            retry_after_s = DEFAULT_RETRY_AFTER_S
            if answer is not None:
                retry_after_s = float(answer.headers.get("retry-after", DEFAULT_RETRY_AFTER_S))
            await asyncio.sleep(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)))

    # --- faults ------------------------------------------------------------------------------------------

    async def inject_faults(self, end: float) -> None:
        """Inject a fault every `FAULT_INTERVAL_S`; once, in the second half, the primary is killed."""
        number = 0
        is_primary_killed = False
        while (remaining := end - time.monotonic()) > FAULT_INTERVAL_S:
            await asyncio.sleep(FAULT_INTERVAL_S)
            number += 1
            if not is_primary_killed and remaining < self.settings.duration_s / 2:
                is_primary_killed = True
                await self.restart_primary()
                continue
            await self.inject_fault(self.rng.choice(FAULT_KINDS), number)
            self.record.serving_proxies.append((self.now(), len(self.serving_proxies)))

    async def inject_fault(self, kind: str, number: int) -> None:
        """Inject one fault and record it; if too few proxies serve, one joins instead."""
        stopped = [ip for ip in self.cluster.proxy_ips if ip not in self.serving_proxies]
        has_few_proxies = len(self.serving_proxies) <= MIN_SERVING_PROXIES
        if kind == "join" or (kind != "release" and has_few_proxies):
            if not stopped:
                return
            kind, machine = "join", self.rng.choice(stopped)
            await self.restart_proxy(machine)
        elif kind == "release":
            machine = await self.replace_backend(number)
        else:
            machine = self.rng.choice(self.serving_proxies)
            if kind == "freeze":
                await self.freeze_proxy(machine)
            else:
                self.serving_proxies.remove(machine)
                self.cluster.send_signal(machine, signal.SIGTERM if kind == "leave" else signal.SIGKILL)
        self.record.faults.append((self.now(), kind, machine))

    async def restart_proxy(self, ip: str) -> None:
        """Start a stopped proxy again, and let callers use it once it is ready."""
        await self.cluster.kill(ip)
        await self.cluster.start(ip)
        await self.cluster.wait_until_ready(ip)
        self.serving_proxies.append(ip)

    async def replace_backend(self, number: int) -> str:
        """Replace the oldest backend of a service and return the new one's name."""
        service = self.rng.choice(SERVICES)
        old = self.backends[service].pop(0)
        name = f"i-{service}-new-{number}"
        self.add_backend(await self.cluster.replace_backend(old, name))
        self.record.backend_lifetimes[old.instance].append(self.now())
        return name

    async def freeze_proxy(self, ip: str) -> None:
        """Suspend a proxy for `FREEZE_S`, in which callers do not use it."""
        self.cluster.send_signal(ip, signal.SIGSTOP)
        self.serving_proxies.remove(ip)
        await asyncio.sleep(FREEZE_S)
        self.cluster.send_signal(ip, signal.SIGCONT)
        self.serving_proxies.append(ip)

    async def restart_primary(self) -> None:
        """Kill the primary, and start it again after `FAULT_INTERVAL_S`."""
        primary_ip = self.cluster.primary_ip()
        await self.cluster.kill(primary_ip)
        self.record.faults.append((self.now(), "leader", primary_ip))
        await asyncio.sleep(FAULT_INTERVAL_S)
        await self.cluster.start(primary_ip)
