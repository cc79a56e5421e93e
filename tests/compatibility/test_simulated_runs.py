"""Simulated runs are the same as in release 0.2: virtual times, bytes sent, bytes written and log events of each seed.

Runs with clients that leave or with slow backends are compared with recordings made when these faults were added.

The recording does not depend on names that may change: it patches the queue of due events (`heapq`), the encoder of the
codec and the encoder of simulated disks, and identifies log events by their numbers.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

import simnet.core.runs
from simnet.search.explorer import search
from simnet.system import days
from simnet.system.faults import FaultKind
from simnet.system.world import World
from tests.compatibility.fixtures import load, positional
from thistleusher.control.interface import LogEvent
from thistleusher.transport import codec

SEEDS = range(10)
ADDED_FAULTS = (FaultKind.SLOW, FaultKind.CLIENTS_LEAVE)  # kinds added after release 0.2
FORMER_FAULTS = tuple(kind for kind in FaultKind if kind not in ADDED_FAULTS)


def play_clients_that_stay(seed: int) -> None:
    """Run a seed's simulated day of the system as in release 0.2, in which no client leaves."""
    days.run_day(World(seed, leave_share=0.0), days.draw(seed, FORMER_FAULTS))


WORLDS = {"core": simnet.core.runs.run, "system": play_clients_that_stay, "leaving clients": days.run}


class Recorder:
    """Counts and digests of a run's events by kind."""

    def __init__(self) -> None:
        self._digests: dict[str, Any] = {}
        self._counts: dict[str, int] = {}

    def add(self, kind: str, data: bytes) -> None:
        """Append one event to the digest of its kind and to `all`, which covers the order across kinds."""
        for name in (kind, "all"):
            digest = self._digests.setdefault(name, hashlib.sha256())
            digest.update(len(data).to_bytes(4) + kind.encode() + data)
            self._counts[name] = self._counts.get(name, 0) + 1

    def result(self) -> dict[str, list[int | str]]:
        return {kind: [self._counts[kind], self._digests[kind].hexdigest()[:16]] for kind in sorted(self._digests)}


class RecordingEncoder:
    """Replaces the codec's encoder and records the messages that are sent."""

    def __init__(self, encoder: msgspec.msgpack.Encoder, recorder: Recorder) -> None:
        self._encoder, self._recorder = encoder, recorder

    def encode(self, message: Any) -> bytes:
        data = self._encoder.encode(message)
        self._recorder.add("sent", data)
        return data


def record(run: Callable[[int], Any], seed: int, patch: Callable[[Any, str, Any], None]) -> dict[str, list[int | str]]:
    """Run a seed's day and return its digests; `patch(owner, name, value)` sets an attribute for the duration."""
    recorder = Recorder()
    pop, encode, make_note = heapq.heappop, msgspec.msgpack.encode, LogEvent.__new__

    def recorded_pop(heap: Any) -> Any:
        due = pop(heap)
        if isinstance(due, tuple) and isinstance(due[0], float):
            recorder.add("time", due[0].hex().encode())
        return due

    def recorded_encode(value: Any) -> bytes:
        data = encode(value)
        recorder.add("written", data)
        return data

    def recorded_note(kind: Any, event: Any, fields: Any) -> Any:
        recorder.add("noted", repr([event.value.number, *map(_without_prose, fields)]).encode())
        return make_note(kind, event, fields)

    patch(heapq, "heappop", recorded_pop)
    patch(msgspec.msgpack, "encode", recorded_encode)
    patch(LogEvent, "__new__", recorded_note)
    encoders = [name for name, value in vars(codec).items() if isinstance(value, msgspec.msgpack.Encoder)]
    assert len(encoders) == 1
    patch(codec, encoders[0], RecordingEncoder(getattr(codec, encoders[0]), recorder))
    run(seed)
    return recorder.result()


def _without_prose(field: Any) -> Any:
    """Return a field of a log event by position; prose, which may be reworded, is replaced by a placeholder."""
    return "(words)" if isinstance(field, str) and " " in field else positional(field)


@pytest.mark.parametrize("beginning", load("searches.json"))
def test_a_search_meets_as_many_states_as_before(beginning):
    result = search(3, beginning=beginning)
    assert (result.states, result.depth, result.steps) == (load("searches.json")[beginning], 3, None)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("world", WORLDS)
def test_a_seed_plays_the_day_that_it_played_before(world, seed, monkeypatch):
    assert record(WORLDS[world], seed, monkeypatch.setattr) == load("simulated_runs.json")[world][str(seed)]
