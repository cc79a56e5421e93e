"""The billing deployment on real processes: a class that must not run twice, no ceilings, and lost halls."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from benchmarks.soak_faults import FAULTS, ROOT
from standins.deployments import BILLING, DEPLOYMENTS
from standins.faults import Fault
from standins.fleet import run_fleet
from standins.fleet_options import Options, settings
from standins.match import ServerCapacity
from standins.records import Answered, Asked, Records
from thistleusher.core.settings_parser import nested_settings

CAPACITY = ServerCapacity(cores=8, work=0.005, cold=0.22, cold_s=2.0)


def run_billing_fleet(faults, seconds=5.0, **more):
    """Run a billing fleet; return its verdict, a function for the served fraction of a class, and the records."""
    records = Records()
    options = Options(
        ingresses=2,
        servers=6,
        seconds=seconds,
        rate=120.0,
        loss=0.0,
        deployment=BILLING,
        capacity=CAPACITY,
        members={"mittel": 40, "gross": 60},
        faults=tuple(faults),
        **more,
    )
    verdict, _, _ = asyncio.run(asyncio.wait_for(run_fleet(options, records=records), 60))

    def served(cls, since=0.0, until=1e9):
        start = next(records.of_kind(Asked)).at
        names = {a.id for a in records.of_kind(Asked) if a.cls == cls and since <= a.at - start < until}
        found = Counter(a.status for a in records.of_kind(Answered) if a.id in names)
        return found[200] / max(1, sum(found.values()))

    return verdict, served, records


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_settings_of_ingresses_can_be_read(name):
    parsed, _ = nested_settings(settings(Options(deployment=DEPLOYMENTS[name]), 0))
    assert {c.name for c in parsed.classes} == set(DEPLOYMENTS[name].classes)
    assert parsed.max_attempts == DEPLOYMENTS[name].max_attempts


def test_connections_that_break_as_requests_come_cost_the_unsafe_class_next_to_nothing():
    """Every server resets a third of its requests at the first byte: none of these has run, so all may be resent."""
    verdict, served, _ = run_billing_fleet([Fault(0.0, "match.cuts", n, 10.0, 0.33) for n in range(6)])
    assert verdict.kept, verdict.lines()
    assert served("settle-post", since=0.5) > 0.9, verdict.lines()


def test_a_lost_hall_breaks_no_rule_and_service_is_back_with_it():
    """The lost hall holds half of the servers, one of two ingresses and the counter; its servers restart cold."""
    verdict, served, records = run_billing_fleet([Fault(1.0, "hall.lose", 0, 1.5)], seconds=6.0)
    assert verdict.kept, verdict.lines()
    assert served("settle-post", 1.2, 2.4) > 0.5  # the other ingress and its servers continue
    assert served("settle-post", since=4.5) > 0.9 and served("share-read", since=4.5) > 0.9, verdict.lines()
    retry_after = [a.retry_after for a in records.of_kind(Answered) if a.status in (429, 503)]
    assert not retry_after or max(retry_after) > 0


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.name)
def test_the_lines_that_deliberate_faults_change_are_there(fault):
    assert fault.correct in (ROOT / "thistleusher" / fault.file).read_text()
