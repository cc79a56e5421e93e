"""Twelve ingress processes, whose customers use all of them, under faults between the processes."""

from __future__ import annotations

import asyncio

import pytest

from standins.faults import Fault
from standins.fleet import Fleet, run_fleet
from standins.fleet_options import Options

INGRESSES = 12  # a large deployment, in which updates go to ingress sets instead of to all ingresses


@pytest.mark.parametrize(
    "faults,crowded",
    [
        ((), 0.01),
        ((Fault(1.0, "counter.silence", duration_s=2.0),), 0.1),
        ((Fault(1.0, "counter.split", 0, duration_s=2.0),), 0.02),
        ((Fault(1.0, "relay.loss", value=0.7, duration_s=2.0),), 0.1),
        (tuple(Fault(1.0, "ingress.kill", n) for n in range(0, INGRESSES, 3)), 0.1),
    ],
    ids=["calm", "counter silent", "counter split", "70% lost", "four killed at once"],
)
def test_a_large_fleet_keeps_the_rules_and_rejects_few_with_headroom(faults, crowded):
    fleets: list[Fleet] = []

    async def watch(fleet: Fleet) -> None:
        fleets.append(fleet)

    async def main() -> None:
        verdict, _, sent = await run_fleet(
            Options(ingresses=INGRESSES, servers=8, seconds=4.0, rate=100.0, seed=6, faults=faults, loss=0.0), watch
        )
        assert verdict.kept, verdict.lines()
        assert fleets[0].front is not None
        answered = fleets[0].front.status_counts
        assert sent > 250 and answered.get(200, 0) > 100
        assert answered.get(503, 0) <= crowded * sent, answered

    asyncio.run(asyncio.wait_for(main(), 90))
