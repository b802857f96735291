"""The primary's leases of shards: one set for each service, for as long as this machine leads.  Pure.

The tables are replicated settings.  Their versions rise by one with each table; a table is stored before
any backend is granted what it changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from ivymux.config_store.calls import PutSetting, ReportHoldings, ReportLoads
from ivymux.config_store.records import ReplicatedSetting
from ivymux.sharding import SETTING_PREFIX, ShardingError
from ivymux.sharding.shard_leases import HolderCall, ShardLeases
from ivymux.sharding.shard_table import ShardTable, parse_rows

LEASE_HEARTBEATS = 2.7  # heartbeat periods that a lease lasts: a call may fail, and be repeated elsewhere
FIRST_VERSION = 0


class LeaderView(Protocol):
    """What this module asks of its replica."""

    step_downs: int

    def may_serve(self, now: float) -> bool: ...


class StoredTable(NamedTuple):
    """A table that is to be stored."""

    service: str
    table: ShardTable
    call: PutSetting


@dataclass(slots=True)
class ServiceShards:
    """One service's leases, and the version of its stored table."""

    leases: ShardLeases
    version: int


@dataclass(slots=True)
class ShardService:
    """Answers backends' calls about shards while this machine leads."""

    replica: LeaderView
    settings: dict[str, ReplicatedSetting]  # in force, by name
    heartbeat_s: float
    max_lease_s: float
    services: dict[str, ServiceShards] = field(default_factory=dict)
    leads_since: int = -1  # the replica's step-downs when this machine began to lead

    @property
    def lease_s(self) -> float:
        return min(self.max_lease_s, LEASE_HEARTBEATS * self.heartbeat_s)

    def update_leadership(self, now: float) -> bool:
        """Return whether this machine leads; forget all leases where another one may have led meanwhile."""
        if self.leads_since != self.replica.step_downs:
            self.services.clear()
            if not self.replica.may_serve(now):
                return False
            self.leads_since = self.replica.step_downs
            for setting in self.settings.values():
                if setting.name.startswith(SETTING_PREFIX):
                    self.shards_of(setting.name.removeprefix(SETTING_PREFIX), now)
        return self.replica.may_serve(now)

    def shards_of(self, service: str, now: float) -> ServiceShards:
        """Return a service's shards; at first its stored table, with leases that may have been granted.

        Raises ShardingError.
        """
        if service not in self.services:
            setting = self.settings.get(SETTING_PREFIX + service)
            table = ShardTable.decode(setting.text) if setting is not None else ShardTable()
            version = setting.version if setting is not None else FIRST_VERSION
            leases = ShardLeases(table, self.lease_s, self.heartbeat_s, now)
            self.services[service] = ServiceShards(leases, version)
        return self.services[service]

    def on_call(self, call: ReportHoldings | ReportLoads, now: float) -> dict[str, Any] | None:
        """Answer a call about shards; None where this machine does not lead.  Raises ShardingError."""
        if not self.update_leadership(now):
            return None
        if isinstance(call, ReportLoads):
            if call.service in self.services:
                self.services[call.service].leases.loads.add(call.counts, now)
            return {"ok": True}
        return self.on_holdings(call, now)

    def on_holdings(self, call: ReportHoldings, now: float) -> dict[str, Any]:
        """Answer a backend with the keys that it is to hold.  Raises ShardingError."""
        holder = HolderCall(
            call.id,
            call.address,
            call.capacity,
            call.is_leaving,
            call.call_seq,
            [(first, last, whole_number(fence)) for first, last, fence in parse_rows(call.holdings)],
            [(first, last, str(code)) for first, last, code in parse_rows(call.released)],
        )
        rows = self.shards_of(call.service, now).leases.on_call(holder, now)
        if rows is None:
            return {"ok": True}
        return {"ok": True, "holdings": [list(row) for row in rows], "hold_s": self.lease_s}

    def tables_to_store(self, now: float) -> list[StoredTable]:
        """Return the tables that are to be stored next."""
        if not self.update_leadership(now):
            return []
        found = []
        for name, shards in self.services.items():
            if (table := shards.leases.propose_table(now)) is not None:
                call = PutSetting(SETTING_PREFIX + name, shards.version + 1, table.encode())
                found.append(StoredTable(name, table, call))
        return found

    def on_stored(self, stored: StoredTable) -> None:
        """Put a table into force that is on all disks, unless this machine has ceased to lead meanwhile."""
        shards = self.services.get(stored.service)
        if shards is not None and shards.leases.proposed is stored.table:
            shards.version = stored.call.version
            shards.leases.on_stored(stored.table)


def whole_number(value: Any) -> int:
    """Return a fence.  Raises ShardingError."""
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise ShardingError(f"{value!r} is no fence; write a whole number")
