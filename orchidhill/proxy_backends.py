"""The backends of a proxy's services, and which of them takes the next attempt.  Pure.

Times are in seconds on the decision module's clock; `now` is passed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from orchidhill import interface as i
from orchidhill.admission import stable_hash
from orchidhill.interface import State
from orchidhill.state import Backend, Job

QUEUE_DEPTH = 4.0  # times a backend's slots, the maximum of this proxy's attempts in flight there
INITIAL_RETRY_TOKENS = 1.0  # per service
SILENT = 1  # `Entry.kind` of a draining backend that is not leaving, but sends no heartbeats
SILENT_FACTOR = 5.0  # times its class's latency without an answer after which a backend counts as silent
MIN_SILENCE_S = 0.4  # lower bound of the silence that counts
HOME_FACTOR = 3.0  # times the usual latency and the best backend's queue up to which a home backend is used
OTHER_ZONE_FACTOR = 1.2  # on the score of a backend in another zone, as traffic between zones costs more
ROTATION_S = 40.0  # since a backend's last attempt, beyond which its idle time no longer improves its score
ROTATION_BONUS_PER_S = 3e-4  # part of the score that is deducted for each second of idle time
WARM_UP_S = 3.0  # after a backend's start
WARM_UP_FACTOR = 2.0  # on the latency of a backend in its warm-up


@dataclass(slots=True)
class ProxyBackend(Backend):
    """A backend as this proxy sees it."""

    relative_latency: float = 1.0  # over its class's usual latency
    last_sent_at: float = 0.0  # when the last attempt was sent
    failures: int = 0  # in a row
    ejected_until: float = 0.0
    is_reported: bool = False  # whether the ejection is due to several proxies' reports


@dataclass(slots=True)
class Service:
    """The backends of one service and its retry budget."""

    backends: list[ProxyBackend] = field(default_factory=list)  # ready
    silent: list[ProxyBackend] = field(default_factory=list)  # without recent heartbeats at the registry
    retry_tokens: float = INITIAL_RETRY_TOKENS


class ProxyBackends:
    """All backends that a proxy knows, by id and by service."""

    def __init__(self, instance_hash: int) -> None:
        """`instance_hash`: differs between proxies."""
        self.instance_hash = instance_hash
        self.by_id: dict[int, ProxyBackend] = {}
        self.services: dict[int, Service] = {}

    def update(self, now: float, event: i.Members) -> None:
        """Apply a list of backends, or a change of it."""
        is_complete = event.listing in (i.Listing.CACHED, i.Listing.FULL)
        if is_complete:
            for known in self.by_id.values():
                known.state = State.GONE
        for entry in event.entries:
            found = self.by_id.get(entry.backend)
            if found is None:
                found = self.by_id[entry.backend] = ProxyBackend(entry, answered_at=now)
                # The time of the last attempt is pseudo-random, different at each proxy: else new proxies
                # would all choose the same backend first, then all choose the next one.
                found.last_sent_at = now - ROTATION_S * stable_hash(entry.backend, self.instance_hash) / 2**64
            found.entry, found.state = entry, entry.state
        for gone in [id for id, b in self.by_id.items() if b.state is State.GONE and not b.in_flight]:
            del self.by_id[gone]
        for service in self.services.values():
            service.backends, service.silent = [], []
        for backend in self.by_id.values():
            if backend.state is State.READY:
                self.service(backend.entry.service).backends.append(backend)
            elif backend.entry.kind == SILENT and backend.state is State.DRAINING:
                self.service(backend.entry.service).silent.append(backend)

    def eject(self, now: float, event: i.Shun) -> None:
        """Eject a backend that several proxies reported: this proxy sends too few requests to notice soon."""
        if (backend := self.by_id.get(event.backend)) is not None:
            backend.ejected_until = max(backend.ejected_until, now + event.seconds)
            backend.is_reported = True

    def service(self, number: int) -> Service:
        """Return the service with a number, created on first use."""
        found = self.services.get(number)
        if found is None:
            found = self.services[number] = Service()
        return found

    def choose(self, now: float, job: Job, usual_latency: float) -> ProxyBackend | None:
        """Return the untried backend expected to answer first; an ejected one if no other backend is left.

        `usual_latency`: of the job's class, in seconds.
        """
        if job.req.is_home_only:
            return self.only_backend(now, job)
        best, best_score, ejected, ejected_score = None, math.inf, None, math.inf
        service = self.service(job.req.service)
        # If all backends are silent, the registry most likely misses their heartbeats.
        for backend in service.backends or service.silent:
            if backend.entry.backend in job.tried:
                continue
            in_flight = len(backend.in_flight)
            slots = max(1.0, backend.entry.weight)
            if in_flight >= QUEUE_DEPTH * slots:
                continue
            score = expected_latency(now, backend, usual_latency) * (1 + in_flight / slots)
            if backend.entry.zone:
                score *= OTHER_ZONE_FACTOR
            if now < backend.ejected_until:
                if score < ejected_score:
                    ejected, ejected_score = backend, score
                continue
            # Prefers the backend that has been idle longest.
            score *= 1 + ROTATION_BONUS_PER_S * max(-ROTATION_S, backend.last_sent_at - now)
            if score < best_score:
                best, best_score = backend, score
        if job.req.home and (home := self.home_backend(now, job, usual_latency, best)) is not None:
            return home
        return best if best is not None else ejected

    def only_backend(self, now: float, job: Job) -> ProxyBackend | None:
        """Return the one backend that may run the job, if it takes requests and has not been tried."""
        backend = self.by_id.get(job.req.home)
        if backend is None or job.req.home in job.tried or now < backend.ejected_until:
            return None
        is_silent = backend.entry.kind == SILENT and backend.state is State.DRAINING
        has_room = len(backend.in_flight) < QUEUE_DEPTH * max(1.0, backend.entry.weight)
        return backend if has_room and (backend.state is State.READY or is_silent) else None

    def home_backend(
        self, now: float, job: Job, usual_latency: float, best: ProxyBackend | None
    ) -> ProxyBackend | None:
        """Return the home backend of the job's conversation if it is ready and not much worse than others.

        The home backend's latency is compared with the class's usual latency, not with the best backend's,
        which may be known less well.
        """
        home = self.by_id.get(job.req.home)
        if home is None or home.state is not State.READY or home.entry.service != job.req.service:
            return None
        if home.entry.backend in job.tried or now < home.ejected_until:
            return None
        queue = len(home.in_flight) / max(1.0, home.entry.weight)
        best_queue = len(best.in_flight) / max(1.0, best.entry.weight) if best is not None else queue
        is_fast = expected_latency(now, home, usual_latency) <= HOME_FACTOR
        return (
            home if is_fast and 1 + queue <= HOME_FACTOR * (1 + best_queue) and queue < QUEUE_DEPTH else None
        )


def expected_latency(now: float, backend: ProxyBackend, usual_latency: float) -> float:
    """Return a backend's relative latency, which grows while it is silent with attempts in flight."""
    latency = backend.relative_latency
    if now < backend.entry.started + WARM_UP_S:
        latency *= WARM_UP_FACTOR
    if backend.in_flight:
        silence = now - max(next(iter(backend.in_flight.values())), backend.answered_at)
        if silence > max(MIN_SILENCE_S, SILENT_FACTOR * usual_latency):
            latency = max(latency, silence / usual_latency)
    return latency
