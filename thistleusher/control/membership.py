"""Which machines vote and which hold copies: what a leader aims at, from what it has heard.

The number of voters stays: a learner that has caught up takes the place of a voter that leaves or is silent, by one
change that takes the one in and the other out. A voter that is silent with nobody to take its place keeps its vote.
Only an even number grows or shrinks by one. Copies are on `replica_count` machines beside the leader's, in two zones
where voters of two are there.

Pure functions of what is handed in.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import NamedTuple

from thistleusher.control.joining import Learner
from thistleusher.control.timing import EXCHANGE_S, LEAST_VOTERS, SHRINK_S


class Preference(NamedTuple):
    """What is known of machines that may hold a copy, by name."""

    installed: Set[str]  # that have this epoch's copy already
    tried: Set[str]
    shunned: Set[str]
    leaving: Set[str]
    answered: Set[str]


class VoterChange(NamedTuple):
    """Other voters (address -> zone), and why."""

    voters: dict[str, str]
    why: str


class Watch(NamedTuple):
    """What a leader has heard: for how long each other voter has been silent, who leaves, which learners wait."""

    me: str
    silent_s: Mapping[str, float]
    leaving: Set[str]
    learners: Mapping[str, Learner]  # caught up and steady


def replica_count(voters: int, tolerance: int) -> int:
    """How many replicas there are to be: one a machine that may be lost, and what a bare majority can still have."""
    return max(1, min(tolerance, voters // 2))


def choose_replicas(me: str, voters: Mapping[str, str], tolerance: int, preference: Preference) -> tuple[str, ...]:
    """Who is to hold copies beside `me`; one of another zone where one answers."""

    def rank(name: str) -> tuple[bool, bool, bool, bool, bool, bool, str]:
        return (
            name not in preference.answered,
            name in preference.leaving,
            name not in preference.installed,
            name in preference.tried,
            name in preference.shunned,
            voters[name] == voters.get(me),
            name,
        )

    order = sorted((name for name in voters if name != me), key=rank)
    chosen = order[: replica_count(len(voters), tolerance)]
    if all(voters[name] == voters.get(me) for name in chosen):
        abroad = next(
            (name for name in order if _may_be_abroad(name, voters[name] != voters.get(me), preference)), None
        )
        if abroad is not None and chosen:
            chosen[-1] = abroad
    return tuple(chosen)


def _may_be_abroad(name: str, other_zone: bool, preference: Preference) -> bool:
    willing = name in preference.answered and name not in preference.leaving and name not in preference.shunned
    return other_zone and willing and (name in preference.installed or name not in preference.tried)


def next_voters(voters: Mapping[str, str], watch: Watch) -> VoterChange | None:
    """The next change of the voters, None where they are to stay."""
    out = _to_be_exchanged(voters, watch)
    pairs = _pairs(voters, out, watch.learners)
    if pairs:
        after = {name: zone for name, zone in voters.items() if name not in pairs}
        after.update({learner: watch.learners[learner].zone for learner in pairs.values()})
        return VoterChange(after, ", ".join(f"{new} takes the place of {old}" for old, new in sorted(pairs.items())))
    if len(voters) % 2 == 0 or len(voters) < LEAST_VOTERS:
        return _to_odd(voters, watch)
    return None


def _to_be_exchanged(voters: Mapping[str, str], watch: Watch) -> list[str]:
    """Voters that leave, then those silent for longest."""
    leaving = sorted(name for name in voters if name in watch.leaving and name != watch.me)
    silent = [name for name in voters if watch.silent_s.get(name, 0.0) > EXCHANGE_S and name not in leaving]
    return leaving + sorted(silent, key=lambda name: -watch.silent_s[name])


def _pairs(voters: Mapping[str, str], out: list[str], learners: Mapping[str, Learner]) -> dict[str, str]:
    """Who takes whose place: one of its zone where there is one."""
    waiting = sorted(name for name in learners if name not in voters)
    pairs: dict[str, str] = {}
    for old in out:
        if not waiting:
            break
        near = [name for name in waiting if learners[name].zone == voters[old]]
        pairs[old] = (near or waiting)[0]
        waiting.remove(pairs[old])
    return pairs


def _to_odd(voters: Mapping[str, str], watch: Watch) -> VoterChange | None:
    """An even number decides no better than the odd one below it."""
    waiting = sorted(name for name in watch.learners if name not in voters)
    if waiting:
        return VoterChange({**voters, waiting[0]: watch.learners[waiting[0]].zone}, f"{waiting[0]} gets a vote")
    gone = [name for name in voters if watch.silent_s.get(name, 0.0) > SHRINK_S]
    if gone and len(voters) > LEAST_VOTERS:
        return VoterChange({n: z for n, z in voters.items() if n != gone[0]}, f"{gone[0]} is gone")
    return None
