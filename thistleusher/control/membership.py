"""Which machines vote and which hold copies: a leader's targets, computed from what it has heard.

The number of voters stays: a learner that has caught up replaces a voter that is leaving or silent, by one change that
adds the one and removes the other. A silent voter that nobody can replace keeps its vote. Only an even number of
voters grows or shrinks by one. Copies are on `replica_count` machines beside the leader's, in two zones where voters
of two zones are there.

Pure functions of their arguments.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import NamedTuple

from thistleusher.control.learners import Learner
from thistleusher.control.timing import MIN_VOTERS, VOTER_EXCHANGE_S, VOTER_REMOVAL_S


class Preference(NamedTuple):
    """What a candidate knows of machines that may hold a copy, as sets of addresses."""

    installed: Set[str]  # have this epoch's copy already
    chosen: Set[str]  # were chosen before in this candidacy
    excluded: Set[str]  # failed as replicas lately
    leaving: Set[str]  # their processes are stopping
    answered: Set[str]  # were heard in this candidacy


class VoterChange(NamedTuple):
    """New voters (address -> zone), and the reason for the log."""

    voters: dict[str, str]
    why: str


class Observation(NamedTuple):
    """What a leader has heard: silence of each other voter in seconds, who is leaving, which learners may vote."""

    me: str
    silent_s: Mapping[str, float]
    leaving: Set[str]
    learners: Mapping[str, Learner]  # caught up and steady


def replica_count(voters: int, tolerance: int) -> int:
    """Return the number of replicas: one a machine that may be lost, but no more than a bare majority can have."""
    return max(1, min(tolerance, voters // 2))


def choose_replicas(me: str, voters: Mapping[str, str], tolerance: int, preference: Preference) -> tuple[str, ...]:
    """Return who is to hold copies beside `me`, at least one of another zone where one answers."""

    def rank(name: str) -> tuple[bool, bool, bool, bool, bool, bool, str]:
        return (
            name not in preference.answered,
            name in preference.leaving,
            name not in preference.installed,
            name in preference.chosen,
            name in preference.excluded,
            voters[name] == voters.get(me),
            name,
        )

    ranked = sorted((name for name in voters if name != me), key=rank)
    replicas = ranked[: replica_count(len(voters), tolerance)]
    if all(voters[name] == voters.get(me) for name in replicas):
        other_zone = (name for name in ranked if voters[name] != voters.get(me))
        candidate = next((name for name in other_zone if _is_fit(name, preference)), None)
        if candidate is not None and replicas:
            replicas[-1] = candidate
    return tuple(replicas)


def _is_fit(name: str, preference: Preference) -> bool:
    """Return whether a machine may be preferred to better ranked ones because of its zone."""
    willing = name in preference.answered and name not in preference.leaving and name not in preference.excluded
    return willing and (name in preference.installed or name not in preference.chosen)


def next_voters(voters: Mapping[str, str], observation: Observation) -> VoterChange | None:
    """Return the next change of the voters, None where they are to stay."""
    outgoing = _outgoing(voters, observation)
    replacements = _replacements(voters, outgoing, observation.learners)
    if replacements:
        after = {name: zone for name, zone in voters.items() if name not in replacements}
        after.update({learner: observation.learners[learner].zone for learner in replacements.values()})
        reasons = (f"{new} takes the place of {old}" for old, new in sorted(replacements.items()))
        return VoterChange(after, ", ".join(reasons))
    if len(voters) % 2 == 0 or len(voters) < MIN_VOTERS:
        return _to_odd(voters, observation)
    return None


def _outgoing(voters: Mapping[str, str], observation: Observation) -> list[str]:
    """Return the voters to be replaced: those that are leaving, then those silent for longest."""
    leaving = sorted(name for name in voters if name in observation.leaving and name != observation.me)
    silent_s = observation.silent_s
    silent = [name for name in voters if silent_s.get(name, 0.0) > VOTER_EXCHANGE_S and name not in leaving]
    return leaving + sorted(silent, key=lambda name: -silent_s[name])


def _replacements(voters: Mapping[str, str], outgoing: list[str], learners: Mapping[str, Learner]) -> dict[str, str]:
    """Return which learner replaces which voter: one of its zone where there is one."""
    waiting = sorted(name for name in learners if name not in voters)
    replacements: dict[str, str] = {}
    for old in outgoing:
        if not waiting:
            break
        same_zone = [name for name in waiting if learners[name].zone == voters[old]]
        replacements[old] = (same_zone or waiting)[0]
        waiting.remove(replacements[old])
    return replacements


def _to_odd(voters: Mapping[str, str], observation: Observation) -> VoterChange | None:
    """Return the change to an odd number: an even number tolerates no more losses than the odd one below it."""
    waiting = sorted(name for name in observation.learners if name not in voters)
    if waiting:
        learner = waiting[0]
        return VoterChange({**voters, learner: observation.learners[learner].zone}, f"{learner} gets a vote")
    gone = [name for name in voters if observation.silent_s.get(name, 0.0) > VOTER_REMOVAL_S]
    if gone and len(voters) > MIN_VOTERS:
        remaining = {name: zone for name, zone in voters.items() if name != gone[0]}
        return VoterChange(remaining, f"{gone[0]} is gone")
    return None
