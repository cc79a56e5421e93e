"""Saves one ingress's state in batches through the writer while it serves, and restores it at the start."""

from __future__ import annotations

import logging
import sqlite3
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from thistleusher.core.decision_ports import Escrow
from thistleusher.core.settings import Settings
from thistleusher.core.snapshots import Learned, SavedCustomer, SavedReservation
from thistleusher.state.options import StateOptions
from thistleusher.state.records import (
    EndpointListRecord,
    EndpointRecord,
    IncarnationRecord,
    MemberRecord,
    ReservationRecord,
    encode,
)
from thistleusher.state.recovery import (
    RecoveredMembers,
    last_active_time,
    recover_endpoint_list,
    recover_learned,
    recover_members,
    recover_reservations,
)
from thistleusher.state.store import ENDPOINT_LIST_KEY, LEARNED_KEY, MEMBER_TABLE, RESERVATION_TABLE, RecordKey, Store
from thistleusher.state.writer import Writer

log = logging.getLogger(__name__)

BATCH_SIZE = 150  # members encoded in one batch, which takes about a millisecond of the event loop
FACTS_INTERVAL_S = 2.0  # interval between records of the backend measurements and of the endpoint list
CLOSE_TIMEOUT_S = 2.0  # time limit of the last commit
PLAN_BITS = 7  # low bits of a reservation's key that hold the plan's number; the higher bits hold the customer's number


class Timer(Protocol):
    """The handle that `call_later` returns."""

    def cancel(self) -> object:
        """Prevent the callback from being called."""


class Scheduler(Protocol):
    """The event loop's `call_later`; the delay is in seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call the callback after the delay."""


class BackendDecisions(Protocol):
    """The part of the backend decisions that the snapshotter uses."""

    def to_learned(self, now: float) -> Learned:
        """Return the measurements of the backends."""


class Decisions(Protocol):
    """The part of the decision module that the snapshotter uses."""

    @property
    def escrow(self) -> Escrow | None:
        """Return the escrowed shares, or None if shares are not escrowed."""

    @property
    def fleet(self) -> BackendDecisions:
        """Return the backend decisions."""

    def restore(self, now: float, members: Iterable[SavedCustomer], learned: Learned | None) -> None:
        """Restore the state of an earlier incarnation and start to track changes."""

    def take_changed(self, most: int) -> list[SavedCustomer]:
        """Return up to `most` members that have changed since they were last returned by this method."""


class SubmittedReservations(NamedTuple):
    """Reservations that were submitted to the writer, by plan and customer.

    They are on disk once `Writer.committed` has reached `last_record`.
    """

    last_record: int
    keys: list[tuple[int, int]]


class Snapshotter:
    """Saves and restores the state of one ingress."""

    def __init__(
        self,
        options: StateOptions,
        name: str,
        settings: Settings,
        member_retention: float,
        terms: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        """Open the folder of the ingress `name`. Raises StateFolderError if it cannot be used.

        member_retention: seconds of inactivity after which the decision module forgets a member
        terms: rate and burst of the allowance from which reservations are taken, by plan
        """
        self.options = options
        self.name = name
        self.member_retention = member_retention
        self.terms = terms or {}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.plan_names = list(self.plans)
        self.store = Store(options.folder, name, options.sync, options.max_size)
        self.gateway: Decisions | None = None
        self.writer: Writer | None = None
        self.timer: Timer | None = None
        self.endpoint_list: EndpointListRecord | None = None  # restored from an earlier incarnation
        # Returns the version and the endpoints of the present list; None if the list is not saved.
        self.current_endpoints: Callable[[], tuple[int, tuple[EndpointRecord, ...]]] | None = None
        self._submitted_reservations = deque[SubmittedReservations]()
        self._facts_submitted_at = 0.0

    def start(
        self, gateway: Decisions, clock: Callable[[], float], scheduler: Scheduler
    ) -> tuple[IncarnationRecord, RecoveredMembers]:
        """Restore the saved state, record the start of this incarnation, and begin to save changes.

        `clock` returns Unix time in seconds.
        """
        now = clock()
        store = self.store
        recovered = recover_members(now, store.members(), self.plans, self.member_retention, store.is_copy)
        gateway.restore(now, recovered.members, recover_learned(now, store.learned()))
        reservations = recover_reservations(store.reservations(), self.plans, self.terms, store.is_copy)
        if gateway.escrow is not None:
            gateway.escrow.restore(reservations, last_active_time(now, store.previous))
        self.endpoint_list = recover_endpoint_list(now, store.endpoint_list())
        incarnation = store.start_incarnation(self.name, now)
        self._log_start(incarnation, recovered, reservations)
        self.gateway = gateway
        self.clock = clock
        self.scheduler = scheduler
        self.writer = Writer(store, self.options.commit_every)
        self.timer = scheduler.call_later(self.options.commit_every, self._run_batch)
        return incarnation, recovered

    def _log_start(
        self, incarnation: IncarnationRecord, recovered: RecoveredMembers, reservations: list[SavedReservation]
    ) -> None:
        if self.store.is_copy:
            log.warning("state: %s is a copy: what its original had not written back is left out", self.store.folder)
        log.info(
            "state: life %d, %d members put back, %d rooms, %d records spoilt%s",
            incarnation.number,
            len(recovered.members),
            len(reservations),
            self.store.corrupt_records,
            "".join(f", {count} {reason}" for reason, count in recovered.skipped.items()),
        )

    def _run_batch(self) -> None:
        """Submit one batch of changes. If more remain, the next batch runs in the next turn of the event loop."""
        submitted = self.submit_changes(BATCH_SIZE)
        delay = 0.0 if submitted >= BATCH_SIZE else self.options.commit_every
        self.timer = self.scheduler.call_later(delay, self._run_batch)

    def submit_changes(self, limit: int) -> int:
        """Submit changed members and reservations, and facts if they are due; return the number of the former two.

        If the disk lags, changes stay in the decision module until the writer has capacity for them.
        """
        assert self.gateway is not None and self.writer is not None
        limit = min(limit, self.writer.capacity() // 2)  # half for members, half for reservations
        members = self.gateway.take_changed(limit)
        for member in members:
            plan = self.plans[member.plan]
            record = MemberRecord(member.key, member.plan, plan.rate, plan.burst, *member[2:])
            self.writer.put(RecordKey(MEMBER_TABLE, member.key), encode(record))
        submitted = len(members) + self._submit_reservations(limit)
        now = self.clock()
        # The facts are also due if the clock was set back.
        if not 0 <= now - self._facts_submitted_at < FACTS_INTERVAL_S:
            self._facts_submitted_at = now
            self._submit_facts(now)
        return submitted

    def _submit_reservations(self, limit: int) -> int:
        """Notify the escrow of the reservations that are on disk, submit changed ones, and return their number."""
        assert self.gateway is not None and self.writer is not None
        escrow, writer = self.gateway.escrow, self.writer
        if escrow is None:
            return 0
        while self._submitted_reservations and self._submitted_reservations[0].last_record <= writer.committed:
            escrow.reservations_committed(self._submitted_reservations.popleft().keys)
        keys: list[tuple[int, int]] = []
        for reservation in escrow.changed_reservations(self.clock(), limit):
            key = (reservation.plan, reservation.customer)
            record_key = RecordKey(RESERVATION_TABLE, reservation.customer << PLAN_BITS | reservation.plan)
            if writer.put(record_key, self._reservation_body(reservation)):
                keys.append(key)
            else:
                escrow.reservation_dropped(key)
        if keys:
            self._submitted_reservations.append(SubmittedReservations(writer.submitted, keys))
        return len(keys)

    def _reservation_body(self, reservation: SavedReservation) -> bytes | None:
        """Return the record's bytes, or None to delete the record if the allowance was forgotten."""
        if reservation.at <= 0:
            return None
        r = reservation
        plan = self.plan_names[r.plan]
        rate, burst = self.terms.get(plan, (0.0, 0.0))
        return encode(ReservationRecord(plan, r.customer, r.first, r.width, rate, burst, r.units, r.at))

    def _submit_facts(self, now: float) -> None:
        """Submit the measurements of the backends, and the endpoint list."""
        assert self.gateway is not None and self.writer is not None
        self.writer.put(LEARNED_KEY, encode(self.gateway.fleet.to_learned(now)))
        if self.current_endpoints is not None:
            self.writer.put(ENDPOINT_LIST_KEY, encode(EndpointListRecord(now, *self.current_endpoints())))

    def close(self) -> bool:
        """Save all changes and unlock the folder; return False if they could not be written in time."""
        done = True
        if self.timer is not None:
            self.timer.cancel()
        if self.writer is not None:
            while self.writer.capacity() >= 2 * BATCH_SIZE or self.writer.flush(CLOSE_TIMEOUT_S):
                if not self.submit_changes(BATCH_SIZE):
                    break
            done = self.writer.close(CLOSE_TIMEOUT_S)
            if not done:
                log.error("state: %d records were not committed before the shutdown", len(self.writer.pending))
            else:
                done = self._record_shutdown()
        self.store.close()
        return done

    def _record_shutdown(self) -> bool:
        """Record the orderly shutdown; return False if the disk did not take the record.

        Without the record, the next incarnation assumes that this one was killed, which is safe.
        """
        try:
            self.store.record_shutdown(self.clock())
        except sqlite3.Error as error:
            log.error("state: the shutdown could not be recorded: %s", error)  # noqa: TRY400  one line, no traceback
            return False
        return True
