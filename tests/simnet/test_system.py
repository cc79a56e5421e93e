"""The simulated system: random days, starts and recoveries under specific faults, and the detection of broken rules."""

import os
import subprocess
import sys
from functools import partial

import pytest

from simnet.errors import RuleViolationError
from simnet.system.days import Day, PlannedWork, draw, run, run_day
from simnet.system.faults import Fault, FaultInjector, FaultKind
from simnet.system.rules import FAULT_FREE_S
from simnet.system.topology import CORES, TOLERANCE
from simnet.system.world import World
from thistleusher.common.quota_timing import ALLOWED
from thistleusher.configuration.records import Route
from thistleusher.control.interface import Change
from thistleusher.core.events import Outcome
from thistleusher.proxy import decisions, retries
from thistleusher.proxy.quota import LocalQuota
from thistleusher.registry import backend_poller
from thistleusher.registry.quota_counter import CountResult, QuotaCounter
from thistleusher.registry.registry import Registry


@pytest.mark.parametrize("first", range(0, 24, 4))
def test_drawn_days_break_no_rule(first):
    for seed in range(first, first + 4):
        run(seed)


SLOW_BACKENDS_AND_LEAVING_CLIENTS = Day([Fault(6.0, FaultKind.SLOW, 6.0), Fault(6.5, FaultKind.CLIENTS_LEAVE, 6.0)], [])


@pytest.mark.parametrize("seed", range(4))
def test_nothing_goes_on_for_clients_that_leave_slow_backends(seed):
    world = World(seed)
    run_day(world, SLOW_BACKENDS_AND_LEAVING_CLIENTS)
    assert world.rules.left_count > 200


def test_a_day_is_the_same_each_time():
    first, again = run(5), run(5)
    assert (first.log, first.rules.runs, first.clock.now) == (again.log, again.rules.runs, again.clock.now)
    assert draw(5) == draw(5)


def world_in_service(seed: int = 1) -> World:
    """Return a world in service, with one configuration in force everywhere."""
    world = World(seed)
    world.clock.at(2.0, lambda: world.operator.put_configuration(1))
    world.clock.run(6.0)
    assert all(process.ready() for process in world.processes.values() if process.kind == "proxy")
    return world


def test_a_proxy_that_starts_while_the_core_is_down_is_handed_what_it_needs():
    world = world_in_service()
    for process in list(world.processes.values()):
        if process.machine in CORES:
            world.stop(process, 60.0)
    proxy = world.processes["proxy@d3"]
    world.stop(proxy, 0.5, power_lost=True)
    world.clock.run(world.clock.now + 3.5)
    assert proxy.running and proxy.ready() and proxy.version == 1
    world.rules.reset_counts()
    world.clock.run(world.clock.now + 2.0)
    # Only requests without a limit are served: the proxy has no share of the limited tenant's quota.
    assert world.rules.served_count > 30


@pytest.mark.parametrize("wiped", sorted(CORES))
def test_a_disk_is_lost_while_all_other_machines_lose_power_and_what_was_acknowledged_is_kept(wiped):
    """Proxies lose power too, which the tolerance does not cover; their state is restored from the remaining disks."""
    world = world_in_service()
    world.operator.put_configuration(2)
    while world.rules.acknowledged.version < 2:
        world.clock.run(world.clock.now + 0.001)
    for process in list(world.processes.values()):
        world.stop(process, 1.5, power_lost=True, disk_lost=process.machine == wiped)
    world.clock.run(world.clock.now + 8.0)
    assert {p.version for p in world.processes.values() if p.kind == "proxy"} == {2}
    copies = [p for p in world.processes.values() if p.kind == "control" and p.service.node.state.items]
    assert len(copies) >= TOLERANCE + 1  # a former replica may also have a copy
    world.rules.reset_counts()
    world.clock.run(world.clock.now + 2.0)
    assert world.rules.served_count > 0.9 * world.rules.answered_count > 60


def test_a_region_that_is_cut_off_serves_on_by_its_shares():
    world = world_in_service()
    FaultInjector(world).inject(FaultKind.REGION_CUT, 8.0)
    world.clock.run(world.clock.now + 3.0)
    world.rules.reset_counts()
    world.clock.run(world.clock.now + 3.0)
    assert world.rules.served_count > 0.8 * world.rules.answered_count > 100


def test_changes_that_follow_each_other_at_once_reach_every_proxy_whole():
    world = world_in_service()
    leader = next(p for p in world.processes.values() if p.kind == "control" and p.service.node.leadership is not None)
    for number in range(8):  # each but the first waits until the one before it is stored
        item = {f"evac:far{number}": {"on": True, "n": 1}}
        leader.call(lambda call, item=item: Change(call, lambda _: False, lambda _: item, ""), lambda answer: None)
    world.clock.run(world.clock.now + 1.0)
    kept = leader.service.node.state
    assert len(kept.values("evac:far")) == 8
    for process in world.processes.values():
        if process.kind == "proxy":
            assert process.cluster_view.control.state.items == kept.items


def test_drains_are_seen_though_the_end_of_a_call_to_the_platform_is_never_learnt():
    """Guards against a registry that waits forever for a call to the platform that never ends.

    Without any fault, the backend list then no longer changes, and DRAIN is broken.
    """
    for seed in range(3):
        world = world_in_service(seed)
        world.platform.calls_to_lose = 1
        world.clock.run(world.clock.now + FAULT_FREE_S)
        world.drain_backend()
        world.clock.run(world.clock.now + 8.0)
        assert sum(backend.draining_since is not None for backend in world.backends.by_name.values()) == 1


def test_a_long_calm_day_of_changes_and_replaced_backends_breaks_no_rule():
    """Hundreds of configuration changes, and a backend list that changes between the calls for its pages."""
    world = world_in_service()
    for n in range(240):
        world.clock.at(6.1 + 0.4 * n, partial(world.operator.put_configuration, n + 2))
    for n in range(45):
        world.clock.at(6.3 + 2.0 * n, world.replace_backend)
    world.clock.run(110.0)
    assert len(world.backends.by_name) == 51 and len(world.backends.listed()) == 6
    assert world.rules.acknowledged.version == 241
    assert world.rules.served_count > 0.95 * world.rules.answered_count > 2000


def grant_every_request(self, now, tenant):
    return True


def count_without_limit(self, now, tenant, amount):
    return CountResult(ALLOWED, 1.0, 0)


def no_evacuations(self, now, zones):
    return None


def skip_lease_check(self, now):
    return None


def read_backend_as_ready(raw, real=backend_poller.read_backend):
    name, entry = real(raw)
    return name, {**entry, "p": "ready"}


ANSWERS_LOST = Day([Fault(6.0, FaultKind.ANSWERS_LOST, 6.0)], [])
HOT = Day([Fault(6.0, FaultKind.HOT, 9.0)], [])
HOT_WITHOUT_COUNTER = Day(
    [Fault(6.0, FaultKind.HOT, 9.0), *(Fault(6.5 + 0.1 * n, FaultKind.CORE_CUT, 8.0) for n in range(12))], []
)
CORE_FREEZES = Day([Fault(6.0 + 0.5 * n, FaultKind.CORE_FREEZE, 2.0) for n in range(6)], [])


@pytest.mark.parametrize(
    "patch, day, rule",
    [
        ((Route, "idempotent", property(lambda self: True)), ANSWERS_LOST, "TWICE"),
        (
            (retries, "NEVER_RAN", (*retries.NEVER_RAN, Outcome.RESET)),
            ANSWERS_LOST,
            "(TWICE|REFUSED)",
        ),
        ((QuotaCounter, "charge", count_without_limit), HOT, "QUOTA"),
        ((LocalQuota, "spend", grant_every_request), HOT_WITHOUT_COUNTER, "QUOTA"),
        ((backend_poller, "read_backend", read_backend_as_ready), Day([], [PlannedWork(6.0, "drain")]), "DRAIN"),
        ((decisions.Decisions, "apply_evacuations", no_evacuations), Day([], [PlannedWork(6.0, "begin a1")]), "EVAC"),
        ((Registry, "_check_lease", skip_lease_check), CORE_FREEZES, "LEASE"),
    ],
    ids=[
        "repeats what may not be",
        "a reset never ran",
        "counts without end",
        "fails open",
        "drains unseen",
        "evacuations unseen",
        "a thawed registry answers",
    ],
)
def test_the_rules_are_seen(monkeypatch, patch, day, rule):
    monkeypatch.setattr(*patch)
    with pytest.raises(RuleViolationError, match=rule):
        for seed in range(6):
            run_day(World(seed), day)


def test_a_seed_plays_the_same_day_in_every_process():
    """The run does not depend on the iteration order of sets, which changes with PYTHONHASHSEED."""
    program = (
        "from simnet.core import runs as core; from simnet.system import days as system; "
        "w = system.run(2); c = core.run(2); "
        "print(__import__('zlib').crc32(str((w.rules.runs, w.log, c.log)).encode()))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": seed},
            text=True,
            capture_output=True,
            check=True,
        ).stdout
        for seed in "12"
    }
    assert len(outputs) == 1
