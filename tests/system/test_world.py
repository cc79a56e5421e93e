"""The whole system on the simulated network: drawn days, a proxy started in the dark, and that the rules are seen."""

import os
import subprocess
import sys

import pytest

from simnet.core import Broken
from simnet.system import CORES, World, draw, run
from thistleusher.common.configuration import Route
from thistleusher.control.interface import Change
from thistleusher.proxy import decisions
from thistleusher.proxy.quota import Quota
from thistleusher.registry import backend_poller
from thistleusher.registry.registry import Registry


@pytest.mark.parametrize("first", range(0, 24, 4))
def test_drawn_days_break_no_rule(first):
    for seed in range(first, first + 4):
        run(seed)


def test_a_day_is_the_same_each_time():
    first, again = run(5), run(5)
    assert (first.log, first.ran, first.clock.now) == (again.log, again.ran, again.clock.now)
    assert draw(5) == draw(5)


def calm(seed: int = 1) -> World:
    """In service, with one configuration in force everywhere."""
    world = World(seed)
    world.clock.at(2.0, lambda: world.put(1))
    world.clock.run(6.0)
    assert all(p.ready() for p in world.processes.values() if p.kind == "proxy")
    return world


def test_a_proxy_that_starts_while_the_core_is_dark_is_handed_what_it_needs():
    world = calm()
    for process in list(world.processes.values()):
        if process.machine in CORES:
            world.stop(process, 60.0)
    proxy = world.processes["proxy@d3"]
    world.stop(proxy, 0.5, power=True)
    world.clock.run(world.clock.now + 3.5)
    assert proxy.up and proxy.ready() and proxy.version == 1
    world.served = world.ended = 0
    world.clock.run(world.clock.now + 2.0)
    assert world.served > 30  # those without a limit; it has no share of the limited tenant's


def test_a_region_that_is_cut_off_serves_on_by_its_shares():
    world = calm()
    world.trouble("region cut", 8.0)
    world.clock.run(world.clock.now + 3.0)
    world.served = world.ended = 0
    world.clock.run(world.clock.now + 3.0)
    assert world.served > 0.8 * world.ended > 100


def test_changes_that_follow_each_other_at_once_reach_every_proxy_whole():
    world = calm()
    leader = next(p for p in world.processes.values() if p.kind == "control" and p.service.node.leadership is not None)
    for number in range(8):  # all but the first wait, and begin as soon as the one before is kept
        item = {f"evac:far{number}": {"on": True, "n": 1}}
        leader.call(lambda call, item=item: Change(call, lambda _: False, lambda _: item, ""), lambda answer: None)
    world.clock.run(world.clock.now + 1.0)
    kept = leader.service.node.state
    assert len(kept.values("evac:far")) == 8
    for process in world.processes.values():
        if process.kind == "proxy":
            assert process.knowledge.control.state.items == kept.items


def open_to_all(self, now, tenant):
    return True


def nothing(self, now, zones):
    return None


def nothing_now(self, now):
    return None


def always_ready(raw, real=backend_poller.read_backend):
    name, entry = real(raw)
    return name, {**entry, "p": "ready"}


@pytest.mark.parametrize(
    "patch, troubles, plan, rule",
    [
        ((Route, "idempotent", property(lambda self: True)), [(6.0, "answers lost", 6.0)], [], "TWICE"),
        (
            (decisions, "NEVER_RAN", (*decisions.NEVER_RAN, decisions.Outcome.RESET)),
            [(6.0, "answers lost", 6.0)],
            [],
            "(TWICE|REFUSED)",
        ),
        ((Quota, "spend", open_to_all), [(6.0, "hot", 9.0)], [], "QUOTA"),
        ((backend_poller, "read_backend", always_ready), [], [(6.0, "drain")], "DRAIN"),
        ((decisions.Decisions, "evacuated", nothing), [], [(6.0, "begin a1")], "EVAC"),
        ((Registry, "_check_lease", nothing_now), [(6.0 + 0.5 * n, "core freeze", 2.0) for n in range(6)], [], "LEASE"),
    ],
    ids=[
        "repeats what may not be",
        "a reset never ran",
        "fails open",
        "drains unseen",
        "evacuations unseen",
        "a thawed registry answers",
    ],
)
def test_the_rules_are_seen(monkeypatch, patch, troubles, plan, rule):
    monkeypatch.setattr(*patch)
    with pytest.raises(Broken, match=rule):
        for seed in range(6):
            World(seed).play(troubles, plan)


def test_a_seed_plays_the_same_day_in_every_process():
    """Also where sets of names come in another order."""
    program = (
        "from simnet import core, system; w = system.run(2); c = core.run(2); "
        "print(__import__('zlib').crc32(str((w.ran, w.log, c.log)).encode()))"
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": seed},
            text=True,
            capture_output=True,
            check=True,
        ).stdout
        for seed in "12"
    }
    assert len(said) == 1
