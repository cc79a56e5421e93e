"""Ingresses killed during a counter outage, in scripted time: a member's excess units with and without restored state.

Guards against a fresh quota after each restart: without restored state, an ingress forgets the units that it admitted.
"""

from __future__ import annotations

import pytest

from tests.quota.world import World
from tests.quota.world import settings as settings_of
from tests.state.helpers import TERMS, ManualScheduler
from thistleusher.operator_file.units import Seconds
from thistleusher.state.options import StateOptions
from thistleusher.state.snapshotter import Snapshotter


def excess_after_restarts(restores, seed, kills=12):
    """Return the units beyond the quota of a member that sends far too much to an ingress that is repeatedly killed."""
    w = World(seed, 2)
    w.counters[0].silent = True
    for g in w.gateways:
        g.restore(w.now, [])
    saved = {}
    for _ in range(kills):
        w.traffic(0.5, 40.0, lambda at: 0, "basic")
        saved |= {m.key: m for m in w.gateways[0].take_changed(1000)}
        w.kill(0)
        w.run(0.1)
        w.restart(0)
        w.gateways[0].restore(w.now, saved.values() if restores else [])
    return w.excess("basic")[0]


def test_an_ingress_with_restored_state_admits_nothing_twice():
    without = max(excess_after_restarts(False, seed) for seed in range(5))
    kept = max(excess_after_restarts(True, seed) for seed in range(5))
    assert kept <= 4.0 < without, (kept, without)


def test_usage_admitted_by_peers_arrives_with_their_next_update():
    w = World(3, 2)
    w.counters[0].silent = True
    for g in w.gateways:
        g.restore(w.now, [])
    for n in (0, 1):
        w.ask(n, 0, "basic")
    w.run(0.5)
    saved = w.gateways[0].take_changed(10)
    w.kill(0)
    for _ in range(4):
        w.ask(1, 0, "basic", 2.0)
        w.run(0.1)
    w.restart(0)
    w.gateways[0].restore(w.now, saved)
    w.ask(1, 0, "basic")  # sends an update
    w.run(0.3)
    headrooms = [g.headroom(w.now, 0, "basic") for g in w.gateways]
    assert headrooms[0] == pytest.approx(headrooms[1], abs=0.3)


class Outage:
    """Three ingresses during an outage of the counter, all with or all without a state folder."""

    def __init__(self, tmp_path, with_folders, seed):
        self.tmp_path, self.with_folders, self.seed = tmp_path, with_folders, seed
        self.world, self.snapshotters = World(seed), {}
        self.world.counters[0].silent = True
        if with_folders:
            self.world.restore_state = self.start_snapshotter
            for n in range(3):
                self.world.kill(n)
                self.world.restart(n)

    def start_snapshotter(self, n):
        options = StateOptions(str(self.tmp_path / f"{self.seed}-{n}"), "off", Seconds(0.005))
        snapshotter = self.snapshotters[n] = Snapshotter(options, f"n{n}", settings_of(n), 60.0, TERMS)
        snapshotter.start(self.world.gateways[n], lambda: self.world.now, ManualScheduler())

    def run(self, seconds):
        w = self.world
        end = w.now + seconds
        while w.now < end:
            w.traffic(0.05, 120.0, lambda at: w.rng.randrange(3), "plus")
            for snapshotter in self.snapshotters.values():
                snapshotter.submit_changes(1000)
                assert snapshotter.writer.flush(10.0)

    def kill_all(self):
        """Kill all ingresses; their folders lack the last batch and a record of the shutdown."""
        for n in range(3):
            self.world.kill(n)
            if self.with_folders:
                self.snapshotters[n].writer.close()
                self.snapshotters[n].store.close()
        self.snapshotters.clear()

    def restart_all(self):
        for n in range(3):
            self.world.restart(n)


def outage_with_kills(tmp_path, with_folders, seed):
    """Kill all ingresses at once, three times.

    Return the units beyond the ceiling, and the number of requests served since the first kill.
    """
    outage = Outage(tmp_path, with_folders, seed)
    w = outage.world
    outage.run(1.0)
    before = w.served
    for _ in range(3):
        outage.kill_all()
        w.run(0.1)
        outage.restart_all()
        outage.run(0.5)
    for snapshotter in outage.snapshotters.values():
        snapshotter.close()
    return w.excess("plus")[1], w.served - before


def test_simultaneous_kill_in_an_outage_grants_no_second_ceiling(tmp_path):
    with_folders = [outage_with_kills(tmp_path, True, seed) for seed in range(2)]
    without = [outage_with_kills(tmp_path, False, seed) for seed in range(2)]
    assert max(over for over, _ in with_folders) <= 0.0 < min(over for over, _ in without), (with_folders, without)
    assert min(served for _, served in with_folders) > 15, (with_folders, without)  # allowances still refill
