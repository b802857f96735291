"""The model of the core's machines carries out a replica's actions as the config store's process does."""

from __future__ import annotations

from ivymux.config_store.actions import Persist, Send
from ivymux.config_store.messages import Accepted, ReplicaMessage
from ivymux.simulation.core_cluster import CoreCluster


class RecordingCluster(CoreCluster):
    """Records the acceptances that machines send."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.accepted: list[int] = []

    def send(self, source: str, target: str, message: ReplicaMessage) -> None:
        if isinstance(message, Accepted):
            self.accepted.append(message.epoch)
        super().send(source, target, message)


# Guards against a fault of the model: what a frozen process had to do behind a commit was dropped if another
# event that had waited was handled before the end of that commit.
def test_a_frozen_machine_carries_out_what_waited_for_a_commit() -> None:
    cluster = RecordingCluster(1)
    cluster.start("m0")
    machine = cluster.machines["m0"]
    cluster.run_for(0.001)
    cluster.execute_all(machine, [Persist(promised=(70, "m0/first")), Send("m1", Accepted("m0/first", 70))])
    cluster.freeze("m0")
    assert machine.deferred is not None
    machine.deferred.append(lambda: cluster.execute_all(machine, []))
    cluster.run_for(1.0)
    assert machine.disk.durable.promised == 70 and not cluster.accepted  # the disk works on
    cluster.thaw("m0")
    cluster.run_for(0.001)
    assert cluster.accepted == [70]
