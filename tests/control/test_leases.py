"""The lease of a singleton role: one holder at a time, increasing terms, and the role is eventually held."""

import random

import pytest

from simnet.clock import Clock
from thistleusher.control.leases import GRANT_DURATION_S, LeaseGrantor, LeaseHolder
from thistleusher.transport.messages import LeaseGranted, LeaseRejected, LeaseReleased, LeaseRequest

IPS = ("a", "b", "c")


class SimulatedRole:
    """Three grantors, and three processes that compete for the role."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.after_each = self.check
        self.grantors = {ip: LeaseGrantor(0.0) for ip in IPS}
        self.holders = {ip: LeaseHolder("d", f"{ip}/1", 0.0, random.Random(seed + n)) for n, ip in enumerate(IPS)}
        self.partitioned: set[tuple[str, str]] = set()
        self.terms: dict[int, str] = {}
        self.served = 0
        for holder in self.holders.values():
            holder.set_grantors(IPS)
        for ip in IPS:
            self.tick(ip)

    def tick(self, ip: str) -> None:
        holder = self.holders[ip]
        holder.tick(self.clock.now, lambda to, message: self.deliver(ip, holder, to, message))
        self.clock.later(0.06, lambda: self.tick(ip))

    def deliver(self, ip, holder, to, message):
        if (ip, to) in self.partitioned or self.rng.random() < 0.02:
            return

        def arrive() -> None:
            grantor = self.grantors[to]
            if isinstance(message, LeaseReleased):
                grantor.release(message)
                return
            answer, _ = grantor.decide(self.clock.now, message, 1)
            if (to, ip) not in self.partitioned:
                self.clock.later(0.002 * self.rng.random(), lambda: holder.receive(to, answer))

        self.clock.later(0.002 * self.rng.random(), arrive)

    def check(self) -> None:
        now = self.clock.now
        holding = [(ip, h) for ip, h in self.holders.items() if h.holds_lease(now)]
        assert len(holding) <= 1, f"two hold the role at {now}: {[ip for ip, _ in holding]}"
        for _, holder in holding:
            self.served += 1
            assert self.terms.setdefault(holder.term, holder.me) == holder.me
            assert holder.term == max(self.terms)


@pytest.mark.parametrize("seed", range(20))
def test_one_process_holds_the_role_and_another_takes_over_when_it_is_gone(seed):
    role = SimulatedRole(seed)
    role.clock.run(4.0)
    now = role.clock.now
    holding = [ip for ip, h in role.holders.items() if h.holds_lease(now)]
    # All three processes start at once: none may keep the grants of a minority forever.
    assert len(holding) == 1
    gone = holding[0]
    if seed % 2:
        role.partitioned = {(gone, ip) for ip in IPS}
    else:
        # A new incarnation of the process, without any state of the earlier one.
        role.holders[gone] = LeaseHolder("d", f"{gone}/2", now, random.Random(seed))
    role.clock.run(now + 3.5)
    assert any(h.holds_lease(role.clock.now) for h in role.holders.values())


def test_a_grantor_that_has_started_anew_grants_nothing_for_a_while():
    grantor = LeaseGrantor(10.0)
    request = LeaseRequest("d", "x", 5 << 20, 1.0)
    assert isinstance(grantor.decide(10.0 + GRANT_DURATION_S / 2, request, 1).answer, LeaseRejected)
    assert isinstance(grantor.decide(10.0 + GRANT_DURATION_S, request, 1).answer, LeaseGranted)


def test_a_grantor_that_remembers_grants_at_once_to_the_holders_machine_alone():
    first = LeaseGrantor(0.0)
    term = 5 << 20
    answer, changed = first.decide(GRANT_DURATION_S, LeaseRequest("d", "x/1", term, 1.0), 1)
    assert isinstance(answer, LeaseGranted) and changed
    assert first.decide(GRANT_DURATION_S, LeaseRequest("d", "x/1", term, 1.1), 1)[1] is False
    again = LeaseGrantor(10.0, first.to_records())
    assert isinstance(again.decide(10.1, LeaseRequest("d", "y/1", term + 1, 1.0), 1).answer, LeaseRejected)
    assert again.decide(10.1, LeaseRequest("d", "x/2", term, 1.0), 1).answer.free
    assert isinstance(again.decide(10.1, LeaseRequest("d", "x/2", term + 1, 1.0), 1).answer, LeaseGranted)


def test_a_new_epoch_does_not_end_a_lease():
    grantor = LeaseGrantor(0.0)
    request = LeaseRequest("d", "x", (1 << 20) + 3, 1.0)
    assert isinstance(grantor.decide(GRANT_DURATION_S, request, 1).answer, LeaseGranted)
    assert isinstance(grantor.decide(GRANT_DURATION_S + 0.2, request, 2).answer, LeaseGranted)
    other = LeaseRequest("d", "y", (1 << 20) + 4, 1.0)
    # The term belongs to an earlier epoch.
    assert isinstance(grantor.decide(3 * GRANT_DURATION_S, other, 2).answer, LeaseRejected)


def test_a_process_that_knows_no_term_gets_a_free_role_within_two_ticks():
    role = SimulatedRole(1)
    role.clock.run(3.0)
    # Grants to an earlier incarnation, which expired long ago.
    role.grantors = {ip: LeaseGrantor(0.0, {"d": ("a", 9 << 20)}) for ip in IPS}
    role.rng = random.Random(5)
    for n, ip in enumerate(IPS):
        role.holders[ip] = LeaseHolder("d", f"{ip}/2", role.clock.now, random.Random(n))
    role.terms.clear()
    role.holders["a"].set_grantors(IPS)
    role.clock.run(role.clock.now + 0.13)
    assert role.holders["a"].holds_lease(role.clock.now) and role.holders["a"].term > 9 << 20


def test_a_machine_that_has_just_got_a_vote_grants_nothing_new_for_a_leases_time():
    """Otherwise the grants of the voters before and after a change of the voters could form two majorities."""
    grantor = LeaseGrantor(0.0)
    grantor.pause(10.0)
    request = LeaseRequest("d", "x", 5 << 20, 1.0)
    assert isinstance(grantor.decide(10.0 + GRANT_DURATION_S / 2, request, 1).answer, LeaseRejected)
    assert isinstance(grantor.decide(10.0 + GRANT_DURATION_S, request, 1).answer, LeaseGranted)
    grantor.pause(30.0)
    assert isinstance(grantor.decide(30.1, LeaseRequest("d", "y", 6 << 20, 1.0), 1).answer, LeaseRejected)
