"""The replicated state machine that each core machine runs; it dispatches inputs to the modules of the protocol.

Guarantees, as long as no more machines are lost than the `tolerance` setting allows:

1. A change is acknowledged only once it is on the disks of the leader and of all its replicas in the current epoch, and
   only while the leader's lease is valid (`replication`). There are as many replicas as machines that may be lost.
2. An epoch begins only once a majority of the voters has its view on disk. Only a holder of the newest view that this
   majority knows may begin the next epoch, and only after its replicas have the complete copy on disk (`elections`,
   `view_change`). Every leader therefore has all changes that were ever acknowledged.
3. A machine that has promised an epoch takes no part in a lower one. Its promise is on its disk before it is sent
   (`voting`).
4. A machine whose disk is empty has *lost its state*; a founder's disk names the seeds (`founding_view`). It casts no
   votes, acts as no replica and answers no requests until it has the status of enough other machines: no majority
   could have decided without at least one of them (`joining`).
5. A leader answers only while a majority has acknowledged heartbeats that it sent within the last `LEASE_S`. A voter
   that has heard a leader votes for no other machine for `VOTER_GUARD_S`, which is longer (`leadership`, `voting`).
6. The number of voters is constant. A learner has the complete state before it replaces a voter, and a single epoch
   adds the one and removes the other (`reconfiguration`, `membership`).

Inputs are ticks, messages, ends of disk writes, and calls; `interface` lists the outputs. A reply that relies on a
write is sent only after the write has ended. Voters that are not replicas are witnesses: they store epochs (view and
promise), but no state of the current epoch. There is no log: the state consists of items, each with the number of the
change that set it. The design takes views from Vertical Paxos (Lamport 2009), witnesses from Harp (Liskov 1991) and
leases from Gray 1989.

Pure: no I/O, and no clock of its own. Cost: one heartbeat per voter every `HEARTBEAT_INTERVAL_S`. A change costs one
message of its own size and one answer per replica, and two disk syncs in parallel.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.control.calls import CallQueue
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.founding import Founding
from thistleusher.control.interface import Call, Output, StoredState
from thistleusher.control.joining import Joining
from thistleusher.control.leader import Leader
from thistleusher.control.leadership import Leadership
from thistleusher.control.replica_updates import ReplicaUpdates
from thistleusher.control.role import Role
from thistleusher.control.timing import CANDIDATE_STAGGER_S, STOPPING_STAGGER_S, VOTER_GUARD_S
from thistleusher.control.voting import Voting
from thistleusher.transport.messages import (
    AnyMessage,
    Append,
    Appended,
    Deposed,
    FounderAnnouncement,
    Heartbeat,
    HeartbeatAck,
    Install,
    Installed,
    InstallRejected,
    Leaving,
    Position,
    RecordView,
    Status,
    StatusRequest,
    StepDown,
    ViewRecord,
    ViewRecorded,
    Vote,
    VoteRejected,
    VoteRequest,
)
from thistleusher.transport.state_updates import State

MessageHandler = Callable[[str, Any], None]


class ControlNode:
    """One machine of the core. Times are seconds of its steady clock."""

    def __init__(
        self,
        me: str,
        zone: str,
        seeds: Iterable[str],
        stored: StoredState,
        now: float,
        rng: random.Random,
        tolerance: int = 1,
    ) -> None:
        """Create the node from its stored state.

        `seeds`: the addresses in the current settings; those of the first start are in a founder's stored state.
        `tolerance`: number of machines that may be lost at the same time.
        """
        self._context = Context(me, zone, seeds, now, rng, tolerance)
        self._durable = DurableState(self._context, stored)
        self._calls = CallQueue(self._context)
        self._role = Role(self._context, self._durable, self._calls)
        self._joining = Joining(self._context, self._durable, self._role)
        self._leader = Leader(self._context, self._durable, self._role, self._joining, self._calls)
        self._elections = self._leader.elections
        self._hand_over = self._leader.hand_over
        self._founding = Founding(self._context, self._durable, self._role, self._joining, self._elections)
        self._voting = Voting(self._context, self._durable, self._role, self._joining)
        self._updates = ReplicaUpdates(self._context, self._durable, self._role, self._joining)
        self._handlers = self._message_handlers()

    def _message_handlers(self) -> Mapping[type, MessageHandler]:
        leader, view_change = self._leader, self._elections.view_change
        return {
            FounderAnnouncement: self._joining.on_founder_announcement,
            StatusRequest: self._joining.on_status_request,
            Status: self._joining.on_status,
            VoteRequest: self._voting.on_vote_request,
            RecordView: self._voting.on_record_view,
            Heartbeat: self._voting.on_heartbeat,
            Install: self._updates.on_install,
            Append: self._updates.on_append,
            Vote: self._elections.on_vote,
            VoteRejected: self._elections.on_vote_rejected,
            ViewRecorded: view_change.on_view_recorded,
            Installed: self._on_installed,
            InstallRejected: self._on_install_rejected,
            HeartbeatAck: leader.on_heartbeat_ack,
            Deposed: leader.on_deposed,
            Appended: leader.replication.on_appended,
            Leaving: leader.on_leaving,
            StepDown: self._hand_over.on_step_down,
        }

    # Inputs.

    def tick(self, now: float) -> list[Output]:
        """Run all actions that are due. Must be called at least ten times a second."""
        self._context.set_time(now)
        if self._joining.founding:
            self._founding.tick()
        elif self._joining.is_voter:
            self._tick_voter()
        elif not self._role.stopping:
            self._joining.request_status()
        if self._role.stopping:
            self._hand_over.announce()
        self._redirect_calls()
        self._calls.expire()
        return self._context.flush()

    def receive(self, now: float, sender: str, message: AnyMessage) -> list[Output]:
        """Handle a message from another machine of the core. Messages of other types are ignored."""
        self._context.set_time(now)
        self._context.known_machines.add(sender)
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(sender, message)
        return self._context.flush()

    def connected(self, now: float, peer: str) -> list[Output]:
        """Handle a new connection to a machine of the core. Messages sent to it earlier may have been lost."""
        self._context.set_time(now)
        self._elections.connected(peer)
        return self._context.flush()

    def write_completed(self, now: float, token: int, ok: bool) -> list[Output]:
        """Handle the end of a write; `ok`: whether the records are on disk."""
        self._context.set_time(now)
        self._durable.write_completed(token, ok)
        return self._context.flush()

    def submit(self, now: float, call: Call) -> list[Output]:
        """Accept a call. Its `Answer` comes at once or, if there is no leader, within about `CALL_TIMEOUT_S`."""
        self._context.set_time(now)
        if self._role.stopping:
            self._context.answer(call.call_id, ServiceError(ErrorKind.SHUTTING_DOWN))
        else:
            self._calls.add(call)
            self._leader.serving.serve()
            self._redirect_calls()
        return self._context.flush()

    def stop(self, now: float) -> list[Output]:
        """Begin a graceful stop: hand over leadership, vote and copy until `can_stop` is true."""
        self._context.set_time(now)
        self._role.stopping = True
        self._hand_over.step_down_if_possible()
        self._calls.reject_all()
        self._hand_over.announce()
        return self._context.flush()

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Add the seeds from the current settings; earlier seeds are kept."""
        self._context.seeds |= set(seeds)

    # Observation.

    @property
    def view(self) -> ViewRecord | None:
        """The newest view that this machine knows."""
        return self._durable.view

    @property
    def promised(self) -> int:
        """The highest epoch that this machine has promised, or that it knows another machine to have promised."""
        return self._durable.promised

    @property
    def position(self) -> Position:
        """The position of the copy in memory."""
        return self._durable.state_copy.position

    @property
    def state(self) -> State:
        """The copy in memory. It may include a change that is not committed yet."""
        return self._durable.state_copy.state

    @property
    def leadership(self) -> Leadership | None:
        """The leadership while this machine leads, else None. Its lease may have expired (`holds_lease`)."""
        return self._role.leadership

    @property
    def state_lost(self) -> bool:
        """Whether the disk was empty and too few other machines have sent their status so far."""
        return self._joining.state_lost

    @property
    def is_voter(self) -> bool:
        """Whether this machine is a voter in the newest view that it knows."""
        return self._joining.is_voter

    @property
    def founding(self) -> bool:
        """Whether this machine is a founder that knows of no epoch yet."""
        return self._joining.founding

    @property
    def can_stop(self) -> bool:
        """Whether no other machine depends on this process any more, so that it may exit after `stop`."""
        return self._hand_over.can_stop

    def holds_lease(self, now: float) -> bool:
        """Return whether this machine leads and its lease is valid at time `now`."""
        return self._role.holds_lease(now)

    def in_contact(self, now: float) -> bool:
        """Return whether this machine is a voter and was recently in contact with a leader that has a majority."""
        return self._joining.is_voter and self._role.in_contact(now)

    def known_peers(self) -> list[str]:
        """Return the addresses of all machines of the core that are known, except this one."""
        return self._joining.known_peers()

    # Steps.

    def _tick_voter(self) -> None:
        """Lead, continue a candidacy, or start one if the leader is silent."""
        role = self._role
        if role.leadership is not None:
            self._leader.tick()
        elif role.candidacy is not None:
            self._elections.tick()
        elif self._should_be_candidate():
            self._elections.start_candidacy("no message from the leader in time")

    def _should_be_candidate(self) -> bool:
        role, now = self._role, self._context.now
        if not role.is_eligible():
            return False
        silent_s = now - role.leader_heard_at
        return silent_s > VOTER_GUARD_S + self._stagger() and now >= role.next_candidacy_at

    def _stagger(self) -> float:
        """Return the delay of this machine's candidacy relative to that of the first copy holder, in seconds.

        Several simultaneous candidates would end each other's attempts. A holder whose process is stopping comes last,
        but it still becomes a candidate: it may be the only machine left with the copy.
        """
        view = self._durable.view
        stagger = CANDIDATE_STAGGER_S * view.replica_set.index(self._context.me) if view is not None else 0.0
        return stagger + (STOPPING_STAGGER_S if self._role.stopping else 0.0)

    def _redirect_calls(self) -> None:
        """Redirect waiting callers if another machine leads."""
        role, view = self._role, self._durable.view
        idle = role.leadership is None and role.candidacy is None
        if idle and self._calls and view is not None and view.leader != self._context.me and role.leader_seen():
            self._calls.redirect(view.leader)

    def _on_installed(self, sender: str, message: Installed) -> None:
        self._elections.view_change.on_installed(sender, message)
        self._leader.catch_up.on_installed(sender, message)

    def _on_install_rejected(self, sender: str, message: InstallRejected) -> None:
        self._elections.view_change.on_install_rejected(sender, message)
        self._leader.catch_up.on_install_rejected(sender, message)
