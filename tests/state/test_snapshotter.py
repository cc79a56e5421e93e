"""The snapshotter saves changes in batches while the ingress serves and restores them at a start."""

from __future__ import annotations

from tests.quota.world import PLUS, World
from tests.quota.world import settings as settings_of
from tests.state.helpers import TERMS, ManualScheduler, SlowDisk
from thistleusher.operator_file.units import Seconds
from thistleusher.state.options import StateOptions
from thistleusher.state.snapshotter import Snapshotter
from thistleusher.state.store import Store
from thistleusher.state.writer import Writer


def test_only_changes_are_returned_in_batches():
    w = World(4, 2)
    gateway = w.gateways[0]
    assert gateway.take_changed(10) == []  # changes are not tracked before `restore`
    gateway.restore(w.now, [])
    for m in range(5):
        w.ask(0, m)
    assert len(gateway.take_changed(3)) == 3 and len(gateway.take_changed(3)) == 2
    w.run(1.0)
    w.ask(0, 2)
    assert [m.key for m in gateway.take_changed(10) if m.key == 2] == [2]


def test_a_snapshotter_saves_and_restores(tmp_path):
    def snapshotter(name="n0"):
        return Snapshotter(StateOptions(str(tmp_path / "a"), commit_every=Seconds(0.005)), name, settings_of(0), 60.0)

    w, scheduler = World(5, 2), ManualScheduler()
    one = snapshotter()
    incarnation, found = one.start(w.gateways[0], lambda: w.now, scheduler)
    assert incarnation.number == 1 and not found.members
    for m in range(700):
        w.ask(0, m, units=2.0)
    w.run(0.05)
    delay, run_batch = scheduler.due.pop()
    run_batch()
    assert delay == 0.005 and scheduler.due[-1][0] == 0.0  # more changes remain, so the next batch runs without delay
    assert one.close()
    w.restart(0)
    two = snapshotter()
    incarnation, found = two.start(w.gateways[0], lambda: w.now, scheduler)
    assert incarnation.number == 2 and len(found.members) == 700
    assert w.gateways[0].headroom(w.now, 3, "plus") < PLUS.burst
    two.store.db.execute("PRAGMA query_only=1")  # every write fails from now on
    assert not two.close()
    assert Store(tmp_path / "a", "n0").previous.ended_at == 0.0  # unlocked, and treated as killed


def snapshotter_with_disk(tmp_path, w, disk, most=200_000):
    """Return a snapshotter of ingress 0 whose writer commits to `disk`."""
    snapshotter = Snapshotter(StateOptions(str(tmp_path / "a")), "n0", settings_of(0), 60.0, TERMS)
    snapshotter.start(w.gateways[0], lambda: w.now, ManualScheduler())
    snapshotter.writer.close()
    snapshotter.writer = Writer(disk, interval=0.0, max_pending=most)
    return snapshotter


def test_a_reservation_counts_as_committed_only_when_it_is(tmp_path):
    w, disk = World(5), SlowDisk()
    w.counters[0].silent = True
    w.run(9.0)  # long after the start: all incarnations are settled and the allowances are full
    snapshotter = snapshotter_with_disk(tmp_path, w, disk)
    for _ in range(12):
        w.ask(0, 7)
        w.run(0.2)
    snapshotter.submit_changes(1000)
    (reservation,) = [a.reservation for a in w.gateways[0].escrow.allowances.values()]
    assert disk.commit_started.wait(10.0) and reservation.in_flight is not None
    snapshotter.submit_changes(1000)
    assert reservation.committed is None and reservation.in_flight is not None  # the disk has not answered
    disk.released.set()
    assert snapshotter.writer.flush(10.0)
    snapshotter.submit_changes(1000)
    assert reservation.committed is not None and any(table == "room" for b in disk.batches for table, _ in b)
    assert snapshotter.close()


def test_records_beyond_the_capacity_of_a_slow_disk_wait_in_the_decision_module(tmp_path):
    w, disk = World(5, 2), SlowDisk()
    snapshotter = snapshotter_with_disk(tmp_path, w, disk, most=20)
    for m in range(50):
        w.ask(0, m)
    assert 0 < snapshotter.submit_changes(1000) <= 20 and disk.commit_started.wait(10.0)
    while snapshotter.submit_changes(1000):
        pass  # until the writer has no capacity left
    assert snapshotter.writer.rejected == 0 and len(w.gateways[0].replication.customers.changed) > 0
    disk.released.set()
    assert snapshotter.close()
    kept = {key for batch in disk.batches for table, key in batch if table == "member"}
    assert kept == set(range(50))
