"""The control state's machine on one core machine: a leader and its replicas keep the state, voters decide who leads.

What is guaranteed, with at most the losses of the settings' `tolerance`:

1. A change is acknowledged only once it is on the disks of the leader and of all its replicas (as many as machines may
   be lost), in the present epoch, and the leader's lease stands at that moment (`leading`).
2. An epoch begins only when a majority of the voters has written its view down, and only a holder of the newest view
   that this majority knows may begin the next one, after its replicas have the whole copy on disk (`elections`). So
   whoever leads has everything that was ever acknowledged.
3. A machine that has promised an epoch takes no part in a lower one; what it promised is on its disk before it says so
   (`voting`).
4. A machine whose disk is empty and that is not founding has *forgotten*: it votes, holds and answers for nothing
   until so many of the others have told it what they know that no majority could have decided without one of them
   (`joining`).
5. A leader answers only while a majority has heard it within `LEASE_S`; a voter that has heard one helps nobody else
   for `GUARD_S`, which is longer.
6. The number of voters stays; a learner has the whole state before it takes a voter's place, and both happen by one
   epoch (`membership`).

How: inputs are ticks, messages, ends of disk writes and calls; outputs are messages, writes, answers and news. A reply
that rests on something written leaves only after the write has ended. Voters that are no replicas are witnesses: they
keep epochs (view and promise) and no state of the present epoch. There is no log: state is items, each with the number
of the change that set it. Views as in Vertical Paxos (Lamport 2009), witnesses as in Harp (Liskov 1991), leases as in
Gray 1989.

Cost: a heartbeat a voter each `HEARTBEAT_S`; a change costs one message of its own size and one answer a replica, and
two syncs at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.control.calls import Calls
from thistleusher.control.context import Context
from thistleusher.control.durable import Durable
from thistleusher.control.interface import Call, Output, StoredState
from thistleusher.control.joining import Joining
from thistleusher.control.leader import Leading
from thistleusher.control.role import Leadership, Role
from thistleusher.control.timing import GUARD_S, RETRY_S, STOPPING_TURN_S, TURN_S
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

Handle = Callable[[str, Any], None]


class ControlNode:
    """One machine of the core."""

    def __init__(
        self,
        me: str,
        zone: str,
        seeds: Iterable[str],
        bootstrap: bool,
        stored: StoredState,
        now: float,
        rng: random.Random,
        tolerance: int = 1,
    ) -> None:
        """`tolerance`: machines that may be lost at once, as the settings say."""
        self._context = Context(me, zone, seeds, now, rng, tolerance)
        self._durable = Durable(self._context, stored)
        self._calls = Calls(self._context)
        self._role = Role(self._context, self._durable, self._calls)
        self._joining = Joining(self._context, self._durable, self._role, bootstrap)
        self._leading = Leading(self._context, self._durable, self._role, self._joining, self._calls)
        self._elections = self._leading.elections
        self._voting = Voting(self._context, self._durable, self._role, self._joining)
        self._leave_at = now
        self._handlers = self._table()

    def _table(self) -> Mapping[type, Handle]:
        """Who takes which message."""
        voting, joining, elections, leading = self._voting, self._joining, self._elections, self._leading
        return {
            FounderAnnouncement: joining.on_found,
            StatusRequest: joining.on_status_request,
            Status: joining.on_status,
            VoteRequest: voting.on_vote_request,
            RecordView: voting.on_record_view,
            Install: voting.on_install,
            Append: voting.on_append,
            Heartbeat: voting.on_heartbeat,
            Vote: elections.on_vote,
            VoteRejected: elections.on_vote_rejected,
            ViewRecorded: elections.on_view_recorded,
            Installed: self._on_installed,
            InstallRejected: self._on_install_refused,
            HeartbeatAck: leading.on_heartbeat_ack,
            Deposed: leading.on_deposed,
            Appended: leading.on_appended,
            Leaving: leading.on_leaving,
            StepDown: leading.on_step_down,
        }

    # Inputs.

    def tick(self, now: float) -> list[Output]:
        """Time has passed; to be called ten times a second or more."""
        self._context.advance(now)
        if self._joining.founding:
            self._elections.found()
        elif self._joining.is_voter:
            self._take_part()
        elif not self._role.stopping:
            self._joining.ask()
        if self._role.stopping:
            self._leave()
        self._send_on()
        self._calls.expire()
        return self._context.flush()

    def receive(self, now: float, sender: str, message: AnyMessage) -> list[Output]:
        """A message from another machine of the core. One that a node does not take changes nothing."""
        self._context.advance(now)
        self._context.known.add(sender)
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(sender, message)
        return self._context.flush()

    def takes(self, message: AnyMessage) -> bool:
        """Whether a message is one for a control node."""
        return type(message) in self._handlers

    def connected(self, now: float, other: str) -> list[Output]:
        """A connection to a machine of the core stands anew: what was said to it before may be lost."""
        self._context.advance(now)
        self._elections.connected(other)
        return self._context.flush()

    def write_completed(self, now: float, token: int, ok: bool) -> list[Output]:
        """A write has ended; `ok`: it is on disk."""
        self._context.advance(now)
        self._durable.written(token, ok)
        return self._context.flush()

    def submit(self, now: float, call: Call) -> list[Output]:
        """A call from outside; its `Answer` comes now, or within about `HOLD_S` where nobody leads."""
        self._context.advance(now)
        if self._role.stopping:
            self._context.answer(call.call_id, ServiceError(ErrorKind.SHUTTING_DOWN))
        else:
            self._calls.add(call)
            self._leading.serve()
            self._send_on()
        return self._context.flush()

    def stop(self, now: float) -> list[Output]:
        """This process is to end in order: it hands over what it holds, and ends once `may_end` says so."""
        self._context.advance(now)
        self._role.stopping = True
        self._leading.hand_over()
        self._calls.end()
        self._leave()
        return self._context.flush()

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """The settings name other seeds; what was ever learned is kept."""
        self._context.seeds |= set(seeds)

    # What can be seen from outside.

    @property
    def view(self) -> ViewRecord | None:
        """The newest view that is known here."""
        return self._durable.view

    @property
    def promised(self) -> int:
        """The highest epoch that was promised here, or is known to have been."""
        return self._durable.promised

    @property
    def position(self) -> Position:
        """How far the copy here is."""
        return self._durable.replica.position

    @property
    def state(self) -> State:
        """The copy here. It may hold a change that is not in force yet."""
        return self._durable.replica.state

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, while this machine has one; its lease may be over (`holds`)."""
        return self._role.leadership

    @property
    def state_lost(self) -> bool:
        """Whether the disk was empty, and not enough of the others have told yet."""
        return self._joining.state_lost

    @property
    def is_voter(self) -> bool:
        """Whether this machine has a vote by the newest view that it knows."""
        return self._joining.is_voter

    @property
    def founding(self) -> bool:
        """Whether the system starts for the first time."""
        return self._joining.founding

    def holds_lease(self, now: float) -> bool:
        """Whether this machine leads, and its lease stands at that time."""
        return self._role.holds_lease(now)

    def in_contact(self, now: float) -> bool:
        """Whether this machine votes, and has been in contact with a majority's leader of late."""
        return self._joining.is_voter and self._role.in_contact(now)

    def known_peers(self) -> list[str]:
        """All machines of the core that are known, but this one."""
        return self._joining.known_peers()

    @property
    def can_stop(self) -> bool:
        """Whether others hold what this process held: after `stop` it may end."""
        view, me = self._durable.view, self._context.me
        if view is None:
            return True
        if me in view.previous_voters:  # as a voter before it, it may be asked what follows
            return False
        if not self._joining.is_voter:  # a copy of a later epoch: that is to give it a vote
            return self._durable.replica.epoch <= view.epoch
        if self._role.confirmed < view.epoch:  # known, but its leader has not been heard: it may not have begun
            return False
        led = self._role.guarded()  # else its vote may be the one that is lacking
        return led and me not in view.replica_set and not self._joining.learners.present()

    # What follows.

    def _take_part(self) -> None:
        """A voter: lead, go on with an attempt to, or begin one where the leader is silent."""
        role, now = self._role, self._context.now
        if role.leadership is not None:
            self._leading.lead()
        elif role.candidacy is not None:
            self._elections.press()
        elif role.eligible() and now - role.leader_heard_at > GUARD_S + self._turn() and now >= role.stand_at:
            self._elections.stand("the leader is silent")

    def _turn(self) -> float:
        """Of those that may lead each comes in its turn: all standing at once would only hinder each other.

        One whose process is about to end comes last, but it does: it may be the only one that holds the copy.
        """
        view = self._durable.view
        turn = TURN_S * view.replica_set.index(self._context.me) if view is not None else 0.0
        return turn + (STOPPING_TURN_S if self._role.stopping else 0.0)

    def _leave(self) -> None:
        """Tell whoever must know that this process is about to end, again and again."""
        view, now = self._durable.view, self._context.now
        if view is None or now < self._leave_at or self.can_stop:
            return
        self._leave_at = now + RETRY_S
        if view.leader == self._context.me:
            if self._role.leadership is None and self._role.candidacy is None:
                self._role.tell_step_down(view)
        else:
            self._context.send(view.leader, Leaving(view.epoch))

    def _send_on(self) -> None:
        """Where another leads, callers go there at once."""
        role, view = self._role, self._durable.view
        free = role.leadership is None and role.candidacy is None
        if free and self._calls and view is not None and view.leader != self._context.me and role.leader_seen():
            self._calls.send_on(view.leader)

    def _on_installed(self, sender: str, message: Installed) -> None:
        self._elections.on_installed(sender, message)
        self._leading.on_installed(sender, message)

    def _on_install_refused(self, sender: str, message: InstallRejected) -> None:
        self._elections.on_install_rejected(sender, message)
        self._leading.on_install_rejected(sender, message)
