"""Helpers shared by the tests of the control state: a simulated core, and single nodes."""

import random

from simnet.core.cluster import Cluster
from simnet.core.runs import finish
from thistleusher.control.interface import Send, StoredState
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import (
    Position,
    ViewRecord,
)


def founded_core(machines: int = 3, seed: int = 1) -> Cluster:
    """Return a core that has been founded and has one committed configuration."""
    core = Cluster(seed, machines)
    core.version = 1
    core.clock.at(2.5, lambda: core.operators.put(1, "c1"))
    core.clock.run(4.0)
    assert core.history.acknowledged == 1
    return core


def machines_by_role(core: Cluster):
    """Return the leader, the first replica and the first witness."""
    first = core.leader()
    view = first.node.view
    witness = next(a for a in view.voters if a not in view.replica_set)
    return first, core.machines[view.replicas[0]], core.machines[witness]


def put_configuration(core: Cluster, addresses=None) -> int:
    """Have an operator send the next configuration to `addresses`, by default to any machine; return its number."""
    core.version += 1
    core.operators.put(core.version, f"c{core.version}", addresses)
    return core.version


def wait_until(core: Cluster, condition, timeout_s: float = 10.0) -> float:
    """Run until a condition holds, and return how long that took, in simulated seconds."""
    begin = core.clock.now
    while not condition():
        assert core.clock.now < begin + timeout_s, "the condition did not become true in time"
        core.clock.run(core.clock.now + 0.0005)
    return core.clock.now - begin


def wait_until_acknowledged(core: Cluster, number: int, timeout_s: float = 10.0) -> float:
    return wait_until(core, lambda: core.history.acknowledged >= number, timeout_s)


def run_for(core: Cluster, for_s: float) -> None:
    core.clock.run(core.clock.now + for_s)


def finish_after(core: Cluster, quiet_s: float = 6.0) -> None:
    """Run until the core has been undisturbed for `quiet_s` seconds, and check that it has recovered."""
    core.clock.run(max(core.clock.now, core.fault_free_since) + quiet_s)
    finish(core)


def current_voters(core: Cluster) -> set[str]:
    return set(core.leader().node.view.voters)


VIEW = ViewRecord(1, "10.0.0.1", ("10.0.0.2",), {"10.0.0.1": "a", "10.0.0.2": "b", "10.0.0.3": "a"})


def started_node(me: str, view: ViewRecord = VIEW) -> ControlNode:
    """Return a node that starts with a recorded view on its disk, and as a copy holder with an empty copy."""
    stored = StoredState(promised=view.epoch, view=view)
    if me in view.replica_set:
        stored.position = Position(view.epoch, 0, 0)
    return ControlNode(me, view.voters[me], ["10.0.0.1", "10.0.0.2"], stored, 0.0, random.Random(1))


def sent_types(outputs) -> list[type]:
    return [type(out.message) for out in outputs if isinstance(out, Send)]
