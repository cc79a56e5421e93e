"""The memory that the bodies in flight may take together: who holds how much of it, and who waits.

Each body, of a request or a response, has a `Reservation` from its head on until its bytes are gone: a request's until
it is answered, a response's until it is handed to the client's connection, which from then on accounts for what the
client has not read. A body whose length is known is reserved as a whole, so that bodies which have begun can be
completed; one in chunks grows its reservation.

Guarantees:

- all reservations together stay within the capacity, but for the bytes of one read;
- bodies that wait, of which some bytes came in the same read as the head, keep nobody from being granted, and are
  rejected once they hold `WAITING_SHARE` of the capacity;
- a request that is held finds memory for its response: requests get only a part of the capacity, responses more;
- bodies of at most `SMALL_BODY_BYTES` go before larger ones and may use the whole capacity, so they do not starve;
- those of at most `MEDIUM_BODY_BYTES` go before larger ones of their stage, `MAX_PASSED` of them at a time;
- larger ones of a stage are served in the order in which they asked;
- the bodies of one group, the responses of one backend, hold at most `GROUP_SHARE` of the capacity once less than
  `FREE_FOR_ALL_SHARE` of it is free, but for one body that is larger; what does not fit waits for its group alone.

Pure. Cost: constant per body, and a step per body that waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from enum import Enum

SMALL_BODY_BYTES = 64 * 1024
MEDIUM_BODY_BYTES = 1024 * 1024
MAX_PASSED = 16  # medium bodies that are granted memory before a larger one that waits
GROWTH_BYTES = 64 * 1024  # steps in which a body of unknown length is reserved
WAITING_SHARE = 0.15  # fraction of the capacity for bytes of bodies that wait
ALONE_SHARE = 0.1  # fraction of the capacity that may be in use when a body beyond its stage's part is taken in
GROUP_SHARE = 0.25  # fraction of the capacity for the bodies of one group
FREE_FOR_ALL_SHARE = 0.5  # fraction of the capacity up to which a group may hold more than its share
# Fraction of a process's memory for bodies; the rest is for the process, heads and what is freed late.
MEMORY_SHARE = 0.4
FREE_SHARE = 0.6  # fraction for bodies of what the process itself leaves free, where that is less
MIN_CAPACITY_BYTES = 4 * 1024 * 1024
BYTES_PER_MB = 1024 * 1024


class Stage(Enum):
    """What a body is, with the fraction of the capacity up to which it may be taken in."""

    REQUEST = 0.5
    RESPONSE = 0.85
    CALL = 1.0  # a request that is answered without a second body


class BodyTooLargeError(Exception):
    """The body would never fit: it is larger than the whole budget."""


class MemoryBudget:
    """The budget of one process.

    granted_bytes: held by the reservations to which memory was granted, whether they ask for more or not
    waiting_bytes: held by those that wait and were granted nothing yet
    head_bytes: the part of both that large heads hold
    rejected: bodies rejected for lack of memory since the last report
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity = capacity_bytes
        self.granted_bytes = 0
        self.waiting_bytes = 0
        self.head_bytes = 0
        self.rejected = 0
        self._small: deque[Reservation] = deque()
        self._medium: dict[Stage, deque[Reservation]] = {stage: deque() for stage in Stage}
        self._large: dict[Stage, deque[Reservation]] = {stage: deque() for stage in Stage}
        self._passed = dict.fromkeys(Stage, 0)  # medium bodies granted since the last larger one, while such wait
        self.waiting_groups: dict[ReservationGroup, None] = {}  # those in which a reservation waits, in order

    def resize(self, capacity_bytes: int) -> None:
        """Set the capacity. A lower one takes nothing back from those who hold."""
        grows = capacity_bytes > self.capacity
        self.capacity = capacity_bytes
        if grows:
            self.grant_waiting()

    @property
    def waiting(self) -> int:
        """The number of reservations that wait."""
        queued = sum(len(queue) for queue in self._queues())
        return queued + sum(len(group.waiting) for group in self.waiting_groups)

    def waits_for_capacity(self) -> bool:
        """Return whether a reservation waits for the memory of others, not only for that of its group."""
        return any(self._queues())

    def _queues(self) -> Iterator[deque[Reservation]]:
        """Yield the queues in the order in which they are served."""
        yield self._small
        for stage in (Stage.RESPONSE, Stage.REQUEST, Stage.CALL):
            yield self._medium[stage]
            yield self._large[stage]

    @property
    def held(self) -> int:
        """The bytes of all reservations."""
        return self.granted_bytes + self.waiting_bytes

    def has_capacity(self) -> bool:
        """Return whether the bytes in memory are within their bounds."""
        return self.waiting_bytes <= self.capacity * WAITING_SHARE and self.held <= self.capacity

    def limit(self, stage: Stage, size: int) -> int:
        """Return up to how many held bytes a body of this size is taken in."""
        return self.capacity if size <= SMALL_BODY_BYTES else int(self.capacity * stage.value)

    def queue(self, stage: Stage, size: int) -> deque[Reservation]:
        """Return the queue in which a body of this size waits."""
        if size <= SMALL_BODY_BYTES:
            return self._small
        return (self._medium if size <= MEDIUM_BODY_BYTES else self._large)[stage]

    def may_pass(self, queue: deque[Reservation], stage: Stage) -> bool:
        """Return whether the first of a queue may be granted memory before larger ones of its stage that wait."""
        return queue is not self._medium[stage] or not self._large[stage] or self._passed[stage] < MAX_PASSED

    def count_grant(self, stage: Stage, size: int) -> None:
        """Note that a body was granted memory, for the order of those that wait."""
        if size > MEDIUM_BODY_BYTES or not self._large[stage]:
            self._passed[stage] = 0
        elif size > SMALL_BODY_BYTES:
            self._passed[stage] += 1

    def grant_waiting(self) -> None:
        """Grant what fits by now: small bodies first, then responses, as each of these frees its request too."""
        self._grant_from_queues()
        while any([group.take_up_waiting() for group in list(self.waiting_groups)]):
            self._grant_from_queues()

    def _grant_from_queues(self) -> None:
        for queue in self._queues():
            while queue and (not queue[0].group_has_room() or queue[0].may_be_granted(queue)):
                reservation = queue.popleft()
                if reservation.group_has_room():
                    reservation.grant()
                else:
                    reservation.wait_for_group()


class ReservationGroup:
    """The reservations of one peer, so that one that sends without end does not hold the memory of all others."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held = 0
        self.waiting: deque[Reservation] = deque()

    def has_room(self, wanted: int, others_of_group: int, others_of_budget: int) -> bool:
        """Return whether one of the group may hold `wanted` bytes beside what the others hold."""
        capacity = self._budget.capacity
        if not others_of_group or others_of_group + wanted <= capacity * GROUP_SHARE:
            return True
        return others_of_budget + wanted <= capacity * FREE_FOR_ALL_SHARE

    def take_up_waiting(self) -> bool:
        """Let those that have room in the group by now wait for the budget as others do. Return whether any has."""
        takes_up = False
        while self.waiting and self.waiting[0].group_has_room():
            self.waiting.popleft().wait_for_budget()
            takes_up = True
        if not self.waiting:
            self._budget.waiting_groups.pop(self, None)
        return takes_up


class Reservation:
    """The part of the budget that one body holds."""

    __slots__ = ("_budget", "_stage", "_on_granted", "held", "wanted", "_queue", "_counts_as_waiting", "_group")

    def __init__(
        self,
        budget: MemoryBudget,
        stage: Stage,
        on_granted: Callable[[], object],
        group: ReservationGroup | None = None,
    ) -> None:
        """Hold nothing yet; `on_granted` is called when a request that had to wait is granted.

        `group`: the other reservations of the same peer.

        `_queue` is the queue in which it waits. `_counts_as_waiting`: its bytes belong to `waiting_bytes`.
        """
        self._budget = budget
        self._stage = stage
        self._on_granted = on_granted
        self.held = 0
        self.wanted = 0
        self._queue: deque[Reservation] | None = None
        self._counts_as_waiting = False
        self._group = group

    @property
    def is_waiting(self) -> bool:
        """Whether it waits to be granted what it asked for."""
        return self._queue is not None

    def ask(self, size: int) -> bool:
        """Ask to hold `size` bytes in all. Return whether that is granted; if not, it waits.

        Raise BodyTooLargeError if it could never be granted.
        """
        budget = self._budget
        self.wanted = size
        if size > budget.capacity:
            raise BodyTooLargeError(f"{size} bytes, at most {budget.capacity} can be held")
        queue = budget.queue(self._stage, size)
        if not self.group_has_room():
            self.wait_for_group()
            return False
        if (self.held or not queue) and self.may_be_granted(queue):
            budget.granted_bytes += size - self.held
            self._set_held(size)
            budget.count_grant(self._stage, size)
            return True
        self._wait_in(queue)
        return False

    def wait_for_budget(self) -> None:
        """Wait as those do that have room in their group."""
        self._wait_in(self._budget.queue(self._stage, self.wanted))

    def _wait_in(self, queue: deque[Reservation]) -> None:
        if self.held and not self._counts_as_waiting:  # what it holds is free only once it is complete
            queue.appendleft(self)
        else:
            queue.append(self)
            self._counts_as_waiting = True
        self._queue = queue

    def group_has_room(self) -> bool:
        """Return whether what is wanted is within the part of its group."""
        group = self._group
        return group is None or group.has_room(self.wanted, group.held - self.held, self._held_by_others())

    def wait_for_group(self) -> None:
        """Wait until others of its group hold less."""
        group = self._group
        assert group is not None
        self._budget.waiting_groups[group] = None
        self._wait_in(group.waiting)

    def _set_held(self, size: int) -> None:
        if self._group is not None:
            self._group.held += size - self.held
        self.held = size

    def grow(self, size: int) -> None:
        """Ask for a body of unknown length that has grown to `size` bytes, in steps of `GROWTH_BYTES`, unless it waits.

        Raise BodyTooLargeError if it could never be granted.
        """
        if size > self.held and not self.is_waiting:
            self.ask(-(-size // GROWTH_BYTES) * GROWTH_BYTES)

    def may_be_granted(self, queue: deque[Reservation]) -> bool:
        """Return whether what is wanted could be granted now; `queue`: the one in which it waits or would wait."""
        may_pass = bool(self.held) or self._budget.may_pass(queue, self._stage)
        return may_pass and self.fits()

    def fits(self) -> bool:
        """Return whether what is wanted could be granted now."""
        budget = self._budget
        others = self._held_by_others()
        if others + self.wanted <= budget.limit(self._stage, self.wanted):
            return True
        # One body that is larger than its stage's part is taken in beside small ones only.
        return others <= budget.capacity * ALONE_SHARE and others + self.wanted <= budget.capacity

    def _held_by_others(self) -> int:
        return self._budget.granted_bytes - (0 if self._counts_as_waiting else self.held)

    def grant(self) -> None:
        """Hold what is wanted, and report it. The budget has taken it from its queue."""
        self._queue = None
        self._count_as_granted()
        self._budget.granted_bytes += self.wanted - self.held
        self._set_held(self.wanted)
        self._budget.count_grant(self._stage, self.wanted)
        self._on_granted()

    def _count_as_granted(self) -> None:
        if self._counts_as_waiting:
            self._counts_as_waiting = False
            self._budget.waiting_bytes -= self.held
            self._budget.granted_bytes += self.held

    def cover(self, size: int) -> bool:
        """Account for `size` bytes in all that are in memory already. Return False if there is no room for them."""
        more = size - self.held
        if more <= 0:
            return True
        self._set_held(size)
        if self._counts_as_waiting:
            self._budget.waiting_bytes += more
        else:
            self._budget.granted_bytes += more
        return self._budget.has_capacity()

    def resize(self, size: int) -> None:
        """Hold exactly `size` bytes from now on, and wait for nothing."""
        budget = self._budget
        if self._queue is not None:
            self._queue.remove(self)
            self._queue = None
            if self._group is not None and not self._group.waiting:
                budget.waiting_groups.pop(self._group, None)
        self._count_as_granted()
        budget.granted_bytes += size - self.held
        self._set_held(size)
        if budget.waiting:
            budget.grant_waiting()

    def release(self) -> None:
        """Hold nothing any more; later calls have no effect."""
        if self.held or self._queue is not None:
            self.resize(0)


def release(reservation: Reservation | None) -> None:
    """Release the memory of a body, if it has any."""
    if reservation is not None:
        reservation.release()


def body_capacity(memory_mb: float, own_bytes: int = 0) -> int:
    """Return the bytes that a process may hold in bodies; `own_bytes`: what it takes otherwise."""
    limit_bytes = memory_mb * BYTES_PER_MB
    return int(max(MIN_CAPACITY_BYTES, min(limit_bytes * MEMORY_SHARE, (limit_bytes - own_bytes) * FREE_SHARE)))
