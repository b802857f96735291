"""The leases of shards while a machine leads the core, and after it has lost and regained the lead."""

from __future__ import annotations

from dataclasses import dataclass, field

from ivymux.config_store.calls import ReportHoldings, ReportLoads
from ivymux.config_store.records import ReplicatedSetting
from ivymux.config_store.shard_service import ShardService
from ivymux.sharding import SETTING_PREFIX, SHARDS
from ivymux.sharding.shard_table import ShardHolder, ShardTable

HEARTBEAT_S, MAX_LEASE_S = 1.5, 10.0
NAME = SETTING_PREFIX + "archive"


@dataclass
class FakeReplica:
    """A replica that leads or not."""

    step_downs: int = 0
    leads: bool = True

    def may_serve(self, now: float) -> bool:
        return self.leads


@dataclass
class Core:
    """One machine's service, whose tables are stored at once."""

    replica: FakeReplica = field(default_factory=FakeReplica)
    settings: dict[str, ReplicatedSetting] = field(default_factory=dict)
    seq: int = 0

    def __post_init__(self) -> None:
        self.service = ShardService(self.replica, self.settings, HEARTBEAT_S, MAX_LEASE_S)

    def call(self, id: str, now: float) -> int | None:
        """Let a backend call; return how many rows it is granted, None without an answer."""
        self.seq += 1
        answer = self.service.on_call(
            ReportHoldings("archive", id, f"{id}:80", 2, False, self.seq, [], []), now
        )
        return len(answer["holdings"]) if answer is not None else None

    def store(self, now: float) -> int:
        stored = self.service.tables_to_store(now)
        for one in stored:
            self.settings[one.call.name] = ReplicatedSetting(one.call.name, one.call.version, one.call.text)
            self.service.on_stored(one)
        return len(stored)


def test_a_table_is_stored_under_the_next_version_and_then_granted() -> None:
    core = Core()
    assert core.call("a", 0.0) == 0
    assert core.store(4.0) == 1 and core.settings[NAME].version == 1
    assert core.call("a", 4.1) == 1
    assert core.store(4.2) == 0


def test_a_machine_that_does_not_lead_answers_nothing() -> None:
    core = Core(FakeReplica(leads=False))
    assert core.call("a", 0.0) is None and core.store(1.0) == 0


# Guards against leases of a former time as primary: another machine may have moved the shards since.
def test_a_machine_that_leads_again_starts_from_the_stored_table() -> None:
    core = Core()
    core.call("a", 0.0)
    core.store(4.0)
    core.call("a", 4.1)
    core.replica.leads, core.replica.step_downs = False, 1
    assert core.call("a", 5.0) is None
    other = ShardTable((ShardHolder("b", 9),) * SHARDS)
    core.settings[NAME] = ReplicatedSetting(NAME, 8, other.encode())
    core.replica.leads = True
    assert core.call("a", 20.0) == 0 and core.call("b", 20.0) == 1
    assert core.store(20.1) == 0  # nothing may move before all leases of others have ended


def test_a_table_that_was_stored_for_a_former_lead_is_not_taken_over() -> None:
    core = Core()
    core.call("a", 0.0)
    (stored,) = core.service.tables_to_store(4.0)
    core.replica.step_downs = 1
    assert core.call("a", 4.1) == 0
    core.service.on_stored(stored)
    assert core.service.services["archive"].leases.table == ShardTable()


def test_loads_count_for_known_services_at_the_primary_alone() -> None:
    core = Core()
    core.call("a", 0.0)
    assert core.service.on_call(ReportLoads("archive", [(3, 50)]), 1.0) == {"ok": True}
    assert core.service.services["archive"].leases.loads.counts[3] == 50
    assert core.service.on_call(ReportLoads("unknown", [(3, 50)]), 1.0) == {"ok": True}
    core.replica.leads, core.replica.step_downs = False, 1
    assert core.service.on_call(ReportLoads("archive", [(3, 50)]), 2.0) is None
