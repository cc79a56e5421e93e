"""Selection of voters and replicas from a leader's observations.

The number of voters is constant: a learner that has caught up replaces a voter that is leaving or silent, and one
change adds the one and removes the other. A silent voter that no learner can replace keeps its vote. Only if the number
of voters is even or too small for the tolerance may it change, by one. Besides the leader, `replica_count` machines
hold copies; the copies are spread over two zones if voters of two zones are available.

All functions are pure.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import NamedTuple

from thistleusher.control.learners import Learner
from thistleusher.control.timing import MIN_VOTERS, VOTER_REMOVAL_TIMEOUT_S, VOTER_REPLACEMENT_TIMEOUT_S


class Preference(NamedTuple):
    """A candidate's knowledge of machines that may hold a copy, as sets of addresses."""

    installed: Set[str]  # machines that already have this epoch's copy
    chosen_replicas: Set[str]  # machines that were chosen as replicas earlier in this candidacy
    excluded: Set[str]  # machines that recently failed as replicas
    leaving: Set[str]  # machines whose processes are stopping
    answered: Set[str]  # machines that have answered in this candidacy, and present learners


class VoterChange(NamedTuple):
    """The new voters (address -> zone), and the reason for the change, for the log."""

    voters: dict[str, str]
    reason: str


class Observation(NamedTuple):
    """A leader's observation of the voters and learners."""

    me: str
    silent_s: Mapping[str, float]  # other voter -> seconds since it was last heard
    leaving: Set[str]  # voters whose processes are stopping
    learners: Mapping[str, Learner]  # learners that have caught up and been heard for long enough to become voters
    min_voters: int = MIN_VOTERS  # with fewer voters, learners become voters


def min_voters(tolerance: int) -> int:
    """Return how many voters it takes for a majority to remain when as many machines are lost as may be."""
    return max(MIN_VOTERS, 2 * tolerance + 1)


def replica_count(voters: int, tolerance: int) -> int:
    """Return the number of replicas: one per machine that may be lost, but with the leader no more than a majority."""
    return max(1, min(tolerance, voters // 2))


def choose_replicas(me: str, voters: Mapping[str, str], tolerance: int, preference: Preference) -> tuple[str, ...]:
    """Return the machines that are to hold copies besides `me`, at least one of them in another zone if possible."""

    def rank(name: str) -> tuple[bool, bool, bool, bool, bool, bool, str]:
        return (
            name not in preference.answered,
            name in preference.leaving,
            name not in preference.installed,
            name in preference.chosen_replicas,
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
    """Return whether a machine may be preferred to better ranked machines because of its zone."""
    willing = name in preference.answered and name not in preference.leaving and name not in preference.excluded
    return willing and (name in preference.installed or name not in preference.chosen_replicas)


def next_voters(voters: Mapping[str, str], observation: Observation) -> VoterChange | None:
    """Return the next change of the voters, or None if they are to stay as they are."""
    outgoing = _outgoing(voters, observation)
    replacements = _replacements(voters, outgoing, observation.learners)
    if replacements:
        after = {name: zone for name, zone in voters.items() if name not in replacements}
        after.update({learner: observation.learners[learner].zone for learner in replacements.values()})
        reasons = (f"{new} replaces {old}" for old, new in sorted(replacements.items()))
        return VoterChange(after, ", ".join(reasons))
    if len(voters) % 2 == 0 or len(voters) < observation.min_voters:
        return _change_to_odd_count(voters, observation)
    return None


def _outgoing(voters: Mapping[str, str], observation: Observation) -> list[str]:
    """Return the voters to be replaced: first the leaving voters, then the silent voters, longest silence first."""
    leaving = sorted(name for name in voters if name in observation.leaving and name != observation.me)
    silent_s = observation.silent_s
    silent = [name for name in voters if silent_s.get(name, 0.0) > VOTER_REPLACEMENT_TIMEOUT_S and name not in leaving]
    return leaving + sorted(silent, key=lambda name: -silent_s[name])


def _replacements(voters: Mapping[str, str], outgoing: list[str], learners: Mapping[str, Learner]) -> dict[str, str]:
    """Return outgoing voter -> learner that replaces it, of the same zone if possible."""
    waiting = sorted(name for name in learners if name not in voters)
    replacements: dict[str, str] = {}
    for old in outgoing:
        if not waiting:
            break
        same_zone = [name for name in waiting if learners[name].zone == voters[old]]
        replacements[old] = (same_zone or waiting)[0]
        waiting.remove(replacements[old])
    return replacements


def _change_to_odd_count(voters: Mapping[str, str], observation: Observation) -> VoterChange | None:
    """Return the change to an odd number of voters: an even number tolerates no more losses than one voter fewer."""
    waiting = sorted(name for name in observation.learners if name not in voters)
    if waiting:
        learner = waiting[0]
        return VoterChange({**voters, learner: observation.learners[learner].zone}, f"{learner} becomes a voter")
    silent = [name for name in voters if observation.silent_s.get(name, 0.0) > VOTER_REMOVAL_TIMEOUT_S]
    if silent and len(voters) > MIN_VOTERS:
        remaining = {name: zone for name, zone in voters.items() if name != silent[0]}
        return VoterChange(remaining, f"no message from {silent[0]} in time")
    return None
