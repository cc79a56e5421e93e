"""The heartbeat ring: which proxies watch which, and when a watcher transfers its state."""

from thistleusher.transport.heartbeat_ring import SILENT_S as RING_S
from thistleusher.transport.heartbeat_ring import UPDATE_WAIT_S, HeartbeatRing


def test_each_proxy_is_watched_by_a_few_that_its_position_determines():
    names = [f"n{k}" for k in range(9)]
    rings = {name: HeartbeatRing(name, 0.0) for name in names}
    for ring in rings.values():
        ring.set_members(0.0, names)
    for name, ring in rings.items():
        assert len(ring.watchers()) == 3 and name not in ring.watchers()
        assert all(name in rings[w].watched() for w in ring.watchers())
    watcher = rings[rings["n0"].watchers()[0]]
    watcher.record_heartbeat(0.5, "n0")
    assert watcher.silent(0.5 + RING_S + 0.1) >= {"n0"}
    assert watcher.record_heartbeat(3.0, "n0") and "n0" not in watcher.silent(3.1)
    mine = (7, 9)
    assert not watcher.needs_state_transfer(6.0, "n0", (0, 0), mine)  # The core may still send the updates.
    assert watcher.needs_state_transfer(6.01 + UPDATE_WAIT_S, "n0", (0, 0), mine)  # The core has not sent them.
    assert not watcher.needs_state_transfer(6.1 + UPDATE_WAIT_S, "n0", (0, 0), mine)  # Not at every heartbeat.
    for n in range(20):  # With continuous updates it is always one heartbeat behind, but makes progress.
        assert not watcher.needs_state_transfer(7.0 + UPDATE_WAIT_S * n / 2, "n0", (n, n), (n + 1, n + 1))
    assert not watcher.needs_state_transfer(9.0, "n0", mine, mine) and not watcher.needs_state_transfer(
        9.0, "nobody", (0, 0), mine
    )
    assert "n0" in watcher.heartbeats_due(5.0)  # Also sent to a silent proxy, as it may restart without state.
