"""Datagrams between ingresses: in scripted time, their bytes and all decisions are the same as in release 0.2.

The first byte of each datagram, the mark, identifies its type. Every mark occurs in at least one scene.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from enum import Enum
from typing import Any

import pytest

from tests.compatibility.fixtures import load
from tests.quota.world import World

MARKS = range(0x01, 0x0A)


class Watch:
    """Digests of the actions of all ingresses: one per datagram mark, and one over all actions."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._digests: dict[str, Any] = {}
        self._counts: dict[str, int] = {}
        self._carry = world.act
        world.act = self.act  # type: ignore[method-assign]

    def act(self, instance: int, action: Any) -> None:
        """Record an action with its fields by position, then execute it."""
        values = tuple(action)
        line = repr((self._world.now, instance, *(v.value if isinstance(v, Enum) else v for v in values))).encode()
        if not (len(values) == 1 and isinstance(values[0], str) and " " in values[0]):  # log texts are excluded
            self._add("all", line)
        for value in values:
            if isinstance(value, bytes):
                self._add(f"{value[0]:02x}", line)
        self._carry(instance, action)

    def _add(self, kind: str, data: bytes) -> None:
        self._digests.setdefault(kind, hashlib.sha256()).update(data + b"\n")
        self._counts[kind] = self._counts.get(kind, 0) + 1

    def result(self) -> dict[str, list[int | str]]:
        return {kind: [self._counts[kind], self._digests[kind].hexdigest()[:16]] for kind in sorted(self._digests)}


def traffic(world: World, seconds: float, rate: float, width: int, members: int = 30) -> None:
    """Send requests of both plans through ingress sets that start at varied instance numbers and may wrap round."""
    due = 0.0
    while (due := due + world.rng.expovariate(rate)) < seconds:
        member = world.rng.randrange(members)
        plan, wide = ("basic", world.instances) if member % 2 else ("plus", width)
        first = member * 7 % world.instances
        instance = (first + world.rng.randrange(wide)) % world.instances
        units = world.rng.choice((1.0, 2.0))
        world.at(due, lambda n=instance, m=member, p=plan, u=units, f=first, w=wide: ask(world, n, m, p, u, f, w))
    world.run(seconds)


def ask(world: World, instance: int, member: int, plan: str, units: float, first: int, width: int) -> None:
    if world.gateways[instance] is not None:
        world.ask(instance, member, plan, units, first, width)


def calm(world: World) -> None:
    """Run without failures."""
    traffic(world, 4.0, 60.0, 2)


def counter_fails(world: World) -> None:
    """The counter stops answering for a while, then answers again."""
    traffic(world, 1.5, 60.0, 2)
    world.counters[0].silent = True
    traffic(world, 3.0, 60.0, 2)
    world.counters[0].silent = False
    traffic(world, 1.5, 60.0, 2)


def restarts(world: World) -> None:
    """While the counter is silent, one ingress is killed and another shuts down in order; both restart."""
    world.counters[0].silent = True
    traffic(world, 2.0, 150.0, 3, members=4)
    world.kill(1)
    world.leave(2)
    traffic(world, 1.0, 150.0, 3, members=4)
    world.restart(1)
    world.restart(2)
    traffic(world, 2.0, 150.0, 3, members=4)


def one_restarts_often(world: World) -> None:
    """One ingress is killed every 200 ms under one member's load; each restart reconciles it with its peers."""
    world.counters[0].silent = True
    traffic(world, 4.0, 60.0, 3, members=1)
    for _ in range(10):
        world.kill(1)
        world.restart(1)
        world.traffic(0.2, 60.0, lambda seconds: 1)


def losses(world: World) -> None:
    """20 % of the datagrams are lost, and one ingress is isolated for a while."""
    world.loss = 0.2
    world.counters[0].silent = True
    traffic(world, 1.5, 60.0, 2)
    world.isolated = {0}
    traffic(world, 1.5, 60.0, 2)
    world.isolated = set()
    traffic(world, 1.5, 60.0, 2)


def large_fleet(world: World) -> None:
    """Sixty ingresses query the owners of accounts; replies are delayed, then the counter stops answering."""
    world.inbox = 100.0
    traffic(world, 2.0, 250.0, 5)
    world.delay = 0.4
    traffic(world, 2.0, 250.0, 5)
    world.delay = 0.01
    world.counters[0].silent = True
    traffic(world, 2.0, 250.0, 5)
    world.leave(11)
    traffic(world, 1.0, 250.0, 5)


SCENES: dict[str, tuple[Callable[[World], None], int]] = {
    "calm": (calm, 3),
    "counter fails": (counter_fails, 3),
    "restarts": (restarts, 4),
    "one restarts often": (one_restarts_often, 3),
    "losses": (losses, 4),
    "large fleet": (large_fleet, 60),
}


def record(scene: str) -> dict[str, list[int | str]]:
    """Run a scene; return the number and digest of its datagrams for each mark, and of all actions."""
    play, instances = SCENES[scene]
    world = World(11, instances)
    watch = Watch(world)
    play(world)
    return watch.result()


def test_all_marks_occur():
    golden = load("datagrams.json")
    assert {f"{mark:02x}" for mark in MARKS} == {kind for scene in golden.values() for kind in scene} - {"all"}


@pytest.mark.parametrize("scene", SCENES)
def test_a_fleet_says_the_same_bytes_as_before(scene):
    assert record(scene) == load("datagrams.json")[scene]
