"""A core machine that is cut off from every majority refuses calls at once."""

from __future__ import annotations

import os
from pathlib import Path

import yaml

from ivymux.config_store.calls import PutConfiguration, encode
from ivymux.config_store.disk_recovery import RecoveringConfigStore
from ivymux.config_store.isolation import ISOLATION_DELAY_S, IsolationDetector
from ivymux.config_store.records import EpochRecord, Membership
from ivymux.data_plane.limits import Address
from ivymux.runtime.settings import Settings, load
from ivymux.transport.connector import Connector

from ..sockets import run, until

EPOCH = EpochRecord(4, "a/1", "b/1", ("a/1", "b/1", "c/1"))
JOINT = EpochRecord(5, "a/1", "b/1", ("a/1", "b/1", "n/1"), (Membership(4, EPOCH.members),))


def isolated_since(epoch: EpochRecord | None, *reached: str) -> float | None:
    detector = IsolationDetector()
    detector.update(7.0, epoch, "a/1", reached)
    return detector.isolated_since


def test_a_machine_that_reaches_a_majority_is_not_isolated() -> None:
    assert isolated_since(EPOCH, "b") is None
    assert isolated_since(EPOCH) == 7.0
    assert isolated_since(None) is None  # a machine that joins knows no members yet


def test_majorities_of_all_memberships_that_decide_are_needed() -> None:
    assert isolated_since(JOINT, "b") is None
    assert isolated_since(JOINT, "n") == 7.0  # of the members before, this machine is the only one


def test_a_short_loss_of_connections_is_no_isolation() -> None:
    detector = IsolationDetector()
    detector.update(1.0, EPOCH, "a/1", ())
    detector.update(1.0 + ISOLATION_DELAY_S, EPOCH, "a/1", ())
    assert detector.is_isolated(1.0 + ISOLATION_DELAY_S)
    assert not detector.is_isolated(1.0 + ISOLATION_DELAY_S / 2)
    detector.update(2.0, EPOCH, "a/1", ("c",))
    assert not detector.is_isolated(9.0)


def settings_of_a_lone_core_machine(folder: Path) -> Settings:
    """Return the settings of a founder whose two peers never start."""
    net = f"127.{40 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
    document = {
        "self_entity": {
            "node_name": "a", "ip_address": f"{net}.1", "zone_name": "hall", "initial_start": True,
            "data_path": str(folder),
        },
        "network_table": {
            "listen_addrs": {"control_addr": f"{net}.1:8529"}, "inner_port_range": [7340, 7355],
            "seed_nodes": [f"{net}.{n}:8529" for n in (1, 2, 3)], "zones": {"hall": "valley"},
        },
        "platform_table": {"beat_period": "1.5s"},
        "terms_table": {"timing_bounds": {"quota_excess": 0.1, "quota_slack": 20, "grace": "3s"}},
    }  # fmt: skip
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(document))
    return load(path)


# Guards against the review's case 1 on slow disks: the half without a primary held each order for 0.95 s.
def test_a_call_to_a_machine_without_a_majority_is_refused_before_its_timeout(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings = settings_of_a_lone_core_machine(tmp_path)
        store = RecoveringConfigStore(settings)
        await store.start()
        registry = Connector(Address(settings.ip, settings.config_store_port), lambda _, message: None)
        try:
            await until(lambda: registry.is_connected)
            answer = await registry.call(encode(PutConfiguration(1, "{}")) | {"w": 300.0}, 300.0)
            assert answer["ok"] is False
        finally:
            registry.close()
            await store.stop()

    run(scenario())
