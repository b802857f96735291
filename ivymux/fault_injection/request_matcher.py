"""Decides at a proxy which requests are under a trial, and until when.  Pure; times are passed in.

A trial is in force at a proxy only under a lease.  The proxy requests the trials from the core every
RENEWAL_INTERVAL_S; each answer says how old its data is, and grants a lease of LEASE_S from the time at which
the data was current.  Without a renewal every trial ends at that proxy, by the proxy's steady clock.  Thus an
ended trial is in force for at most LEASE_S longer, even at a proxy that is partitioned from the core.  After
its start a proxy has no lease at first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ivymux.fault_injection.trial_set import Trial, TrialSet, key_digest

LEASE_S = 3.0
RENEWAL_INTERVAL_S = 0.6


@dataclass(slots=True)
class ActiveTrial:
    """One running trial at this proxy; times are steady seconds."""

    trial: Trial
    starts_at: float
    ends_at: float
    keys: frozenset[bytes] = frozenset()  # the key that the trial is limited to, if the configuration has it
    requests: int = 0  # of the trial's caller, at this proxy
    injected: int = 0
    first_request_at: float = 0.0  # 0: none yet

    def is_sampled(self, request_id: bytes) -> bool:
        """Whether a request is in the trial's share.  All proxies decide alike, as only its id counts."""
        if self.trial.share >= 1:
            return True
        sample = blake2b(request_id, digest_size=8, key=self.trial.name.encode()).digest()
        return int.from_bytes(sample, "big") / 2**64 < self.trial.share


@dataclass(slots=True)
class RequestMatcher:
    """The trials that one proxy knows, and its lease on them."""

    zone: str
    trials: TrialSet = field(default_factory=TrialSet)
    active: dict[str, ActiveTrial] = field(default_factory=dict)  # by the trial's name
    key_by_digest: dict[str, bytes] = field(default_factory=dict)  # the configuration's keys
    lease_until: float = -math.inf  # steady time
    # The trials in `active` that concern this zone.
    active_by_caller: dict[str, list[ActiveTrial]] = field(default_factory=dict)
    forwarded: int = 0  # requests under a trial that still went to a backend

    def apply(self, trials: TrialSet, steady: float, unix: float) -> bool:
        """Take a newer set of trials; return whether it is newer."""
        if trials.version <= self.trials.version:
            return False
        self.trials = trials
        previous, self.active = self.active, {}
        for trial in trials.running:
            delay = max(0.0, trial.at - unix)
            active = ActiveTrial(
                trial, steady + delay, steady + min(delay + trial.lasts, trial.ends_at - unix)
            )
            known = previous.get(trial.name)
            if known is not None and known.trial == trial:  # a jump of the wall clock must not extend it
                known.ends_at = min(known.ends_at, active.ends_at)
                active = known
            self.active[trial.name] = active
        self.index_by_caller()
        return True

    def update_keys(self, keys: Iterable[bytes]) -> None:
        """Take the API keys of the configuration in force."""
        self.key_by_digest = {key_digest(key): key for key in keys}
        self.index_by_caller()

    def index_by_caller(self) -> None:
        """Rebuild `active_by_caller` after a change of trials or keys."""
        self.active_by_caller = {}
        for active in self.active.values():
            trial = active.trial
            if trial.zone and trial.zone != self.zone:
                continue
            key = self.key_by_digest.get(trial.key)
            active.keys = frozenset() if key is None else frozenset({key})
            self.active_by_caller.setdefault(trial.caller, []).append(active)

    def renew_lease(self, version: int, requested_at: float, age_s: float) -> None:
        """Renew the lease by the core's answer to a request of the time `requested_at`.

        `version` was the current one `age_s` seconds before that time.
        """
        if version == self.trials.version:
            self.lease_until = max(self.lease_until, requested_at - max(0.0, age_s) + LEASE_S)

    def has_running_trial(self, steady: float) -> bool:
        """Whether the lease has to be renewed."""
        return any(steady < active.ends_at for active in self.active.values())

    def is_in_force(self, name: str, steady: float) -> bool:
        active = self.active.get(name)
        if active is None or steady >= self.lease_until:
            return False
        return active.starts_at <= steady < active.ends_at

    def match(
        self, steady: float, tenant: str, key: bytes, route: str, service: str, request_id: bytes
    ) -> Trial | None:
        """Return the trial to apply to a request, None if there is none; counts the request."""
        candidates = self.active_by_caller.get(tenant)
        if candidates is None or steady >= self.lease_until:
            return None
        for active in candidates:
            trial = active.trial
            if not active.starts_at <= steady < active.ends_at:
                continue
            if trial.key and key not in active.keys:
                continue
            if (trial.route and trial.route != route) or (trial.service and trial.service != service):
                continue
            active.requests += 1
            active.first_request_at = active.first_request_at or steady
            if not active.is_sampled(request_id):
                return None
            active.injected += 1
            return trial
        return None

    def counts(self, steady: float) -> dict[str, list[float]]:
        """By trial's name: whether it is in force, requests, injected ones, seconds since its start here."""
        return {
            name: [
                int(self.is_in_force(name, steady)),
                active.requests,
                active.injected,
                round(steady - active.starts_at, 2),
            ]
            for name, active in self.active.items()
            if active in self.active_by_caller.get(active.trial.caller, ())
        }
