"""Each failure of the counter on real sockets: daemons among stand-ins, checked at the stand-in backends."""

from __future__ import annotations

import asyncio
import functools

import pytest

from standins.faults import Fault
from standins.fleet import run_fleet
from standins.fleet_options import Options, settings
from standins.match import ServerCapacity
from standins.records import Added, Records
from standins.verdict import PlanRule
from thistleusher.core.settings_parser import nested_settings
from thistleusher.quota.bound import Assumptions, bound_of

SECONDS = 6.0
AWAY = 3.5
AT_A_TIME = 4  # number of scenarios that run concurrently
SCENARIOS = {
    "silence": [Fault(1.0, "counter.silence", duration_s=AWAY)],
    "split": [Fault(1.0, "counter.split", 0, AWAY)],
    "split and cut off": [Fault(1.0, "counter.split", 0, AWAY), Fault(1.0, "relay.isolate", 0, AWAY)],
    "replaced twice": [Fault(1.5, "counter.restart"), Fault(2.3, "counter.restart"), Fault(4.0, "counter.restart")],
    "forgets": [Fault(1.0, "counter.forget", duration_s=AWAY, value=0.1)],
    "late and losing": [
        Fault(1.0, "counter.lose", duration_s=AWAY, value=0.2),
        Fault(2.0, "counter.old", duration_s=1.0),
    ],
    "late for one ingress": [Fault(1.0, "counter.late", 0, AWAY, 0.2)],
    "all restart in a silence": [
        Fault(1.0, "counter.silence", duration_s=AWAY),
        *(Fault(2.0 + n / 1000, "ingress.kill", n) for n in range(3)),
    ],
    "silent from the first request": [Fault(0.0, "counter.silence", duration_s=SECONDS)],
    "all restart three times in a silence": [
        Fault(0.5, "counter.silence", duration_s=5.0),
        *(Fault(at + n / 1000, "ingress.kill", n) for at in (1.0, 2.2, 3.4) for n in range(3)),
    ],
    "all restart three times in a silence, with folders": [
        Fault(0.5, "counter.silence", duration_s=5.0),
        *(Fault(at + n / 1000, "ingress.kill", n) for at in (1.0, 2.2, 3.4) for n in range(3)),
    ],
    "split, replaced and restarted, with folders": [
        Fault(0.8, "counter.split", 0, AWAY),
        Fault(2.0, "counter.restart"),
        Fault(5.0, "counter.silence", duration_s=0.7),
        *(Fault(at + n / 3, "ingress.kill", n) for at in (1.5, 4.4) for n in range(3)),
    ],
    "one restarts all the time in a silence": [
        Fault(0.5, "counter.silence", duration_s=5.0),
        *(Fault(1.0 + n * 0.4, "ingress.kill", 1) for n in range(10)),
    ],
    "planned restarts through the tier": [Fault(0.5 + 1.7 * n, "ingress.restart", n) for n in range(3)],
    "silence, restarts and lossy peers": [
        Fault(0.5, "relay.loss", duration_s=5.0, value=0.2),
        Fault(0.5, "relay.delay", duration_s=5.0, value=0.5),
        Fault(1.0, "counter.silence", duration_s=AWAY),
        Fault(1.5, "ingress.restart", 1),
        Fault(2.5, "ingress.kill", 2),
    ],
}


def stated_rules(o: Options, scenario: str) -> dict[str, PlanRule]:
    """Return the plans with the excesses that the bound allows for the scenario."""
    parsed, _ = nested_settings(settings(o, 0))
    lossy, away = "lossy" in scenario, "restart" in scenario
    # The assumed delay covers the relay's delay and everything that the machine adds to it.
    assumed = Assumptions(0.2 if lossy else 0.0, 0.5 if lossy else 0.1, outage=SECONDS, folders=o.folders)
    out = {}
    for plan in parsed.plans:
        b = bound_of(parsed, plan, assumed)
        split = "cut off" in scenario or scenario.startswith("split, replaced")
        error = b.quota_split if split else b.quota_cut_off if away else b.quota_in_touch
        joint = 3 if "three" in scenario else 1 if "all restart" in scenario else 0
        rule = o.plans[plan.name]
        out[plan.name] = PlanRule(
            rule.rate,
            rule.burst,
            rule.ceiling_rate,
            rule.ceiling_burst,
            error + joint * b.quota_restart,
            (b.ceiling or 0.0) + joint * (b.ceiling_restart or 0.0),
        )
    return out


async def run_scenario(scenario):
    size = dict(
        servers=6,
        seconds=SECONDS,
        rate=120.0,
        loss=0.0,
        faults=tuple(SCENARIOS[scenario]),
        switch_interval_s=1.0,
        members={"basic": 6, "plus": 2},
        capacity=ServerCapacity(cores=8, work=0.005),
        folders="folders" in scenario,
    )
    rules = stated_rules(Options(**size), scenario)
    records = Records()
    verdict, _, sent = await run_fleet(Options(**size, plans=rules), records=records)
    return verdict, sent, sum(1 for _ in records.of_kind(Added))


@functools.cache
def group(number):
    """Run a group of scenarios concurrently, as each of them mostly waits."""

    async def main():
        names = list(SCENARIOS)[number * AT_A_TIME : (number + 1) * AT_A_TIME]
        return dict(zip(names, await asyncio.gather(*(run_scenario(n) for n in names)), strict=True))

    return asyncio.run(asyncio.wait_for(main(), 60))


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_members_that_move_every_second_stay_within_the_stated_errors(scenario):
    verdict, sent, added = group(list(SCENARIOS).index(scenario) // AT_A_TIME)[scenario]
    assert verdict.kept, verdict.lines()
    assert sent > 500 and verdict.quota_excess["plus"] > -36.0 and added > 40
    assert sum(f.served for f in verdict.figures.values()) > 60, verdict.lines()


def test_outage_of_the_counter_with_5000_members_over_sockets_stays_within_bounds():
    async def main():
        size = dict(
            servers=6,
            seconds=5.0,
            rate=250.0,
            loss=0.0,
            members={"basic": 5000},
            capacity=ServerCapacity(cores=8, work=0.002),
            faults=(Fault(1.5, "counter.silence", duration_s=2.0),),
        )
        rules = stated_rules(Options(**size), "silence")
        records = Records()
        verdict, _, sent = await run_fleet(Options(**size, plans=rules), records=records)
        assert verdict.kept and sent > 800, verdict.lines()
        served = sum(f.served for f in verdict.figures.values())
        assert served > 0.9 * sent, verdict.lines()  # nearly all customers are within their quotas
        back = [a.at for a in records.of_kind(Added)]
        assert len(back) <= 1.2 * sent  # no thundering herd: units admitted in the outage go with later requests

    asyncio.run(asyncio.wait_for(main(), 60))
