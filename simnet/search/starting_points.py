"""Starting points of searches: worlds that are brought to a state by one order of events, the order of causation."""

from __future__ import annotations

from collections.abc import Callable

from simnet.search.steps import Step, StepKind
from simnet.search.world import LEARNER, START_TIME, VOTERS, SmallWorld
from thistleusher.transport.messages import AnyMessage, RecordView, VoteRequest

STEP_S = 0.05  # increment of time
SETTLE_S = 6.0  # maximum simulated time to reach a starting point


def run_until(world: SmallWorld, until: Callable[[SmallWorld], bool]) -> SmallWorld:
    """Run a world, with all events in the order in which they were caused, until a condition holds.

    Raises AssertionError if it does not hold within `SETTLE_S`.
    """
    end = world.now + SETTLE_S
    while world.now < end:
        while (step := next(world.due(), None)) is not None:
            if until(world):
                return world
            world.step(step)
        if until(world):
            return world
        world.advance(STEP_S)
    raise AssertionError(f"the world did not reach the starting point within {SETTLE_S} s")


def calm() -> SmallWorld:
    """Return a world in which a leader holds the lease, and nothing is in flight."""

    def is_calm(world: SmallWorld) -> bool:
        settled = world.lease_holder() is not None and world.now > START_TIME + 2.0
        return settled and next(world.due(), None) is None

    return run_until(SmallWorld(), is_calm)


def acknowledged() -> SmallWorld:
    """Return a world in which a change has just been acknowledged."""
    world = calm()
    world.step(Step(StepKind.CHANGE, (world.lease_holder() or "",)))
    return run_until(world, lambda w: w.acknowledged == 1)


def _in_flight(world: SmallWorld, wanted: type[AnyMessage]) -> list[AnyMessage]:
    """Return the messages of a type that are in flight."""
    return [m for messages in world.in_flight.values() for m in messages if isinstance(m, wanted)]


def taking_over() -> SmallWorld:
    """Return a world in which a leader acknowledged a change and failed, and a replica has just requested votes."""
    world = acknowledged()
    leader = world.lease_holder()
    assert leader is not None
    world.step(Step(StepKind.KILL, (leader,)))
    for other in world.nodes:  # the restarted leader stays partitioned
        if other != leader:
            world.cut |= {(leader, other), (other, leader)}
    return run_until(world, lambda w: bool(_in_flight(w, VoteRequest)))


def exchanging() -> SmallWorld:
    """Return a world in which a voter is lost for good, and the view with a learner in its place is in flight."""
    world = acknowledged()
    lost = next(address for address in VOTERS if address != world.lease_holder())
    world.add(LEARNER)
    world.remove(lost)

    def is_exchanging(w: SmallWorld) -> bool:
        records = [m for m in _in_flight(w, RecordView) if isinstance(m, RecordView)]
        return any(LEARNER in record.view.voters for record in records)

    return run_until(world, is_exchanging)


STARTING_POINTS: dict[str, Callable[[], SmallWorld]] = {
    "calm": calm,
    "acknowledged": acknowledged,
    "taking over": taking_over,
    "exchanging": exchanging,
}
