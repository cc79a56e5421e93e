"""The deliberate faults that `simnet_faults` inserts, each with the point of docs/hardening.md that it concerns."""

from __future__ import annotations

from typing import NamedTuple


class DeliberateFault(NamedTuple):
    """One fault: the point that it concerns (0: all points), the correct source text, and the faulty text.

    `further_edits` holds more pairs of texts, for a fault that has no effect while a second guard is in place.
    """

    point: int
    name: str
    correct: str
    faulty: str
    further_edits: tuple[tuple[str, str], ...] = ()

    @property
    def edits(self) -> tuple[tuple[str, str], ...]:
        """All replacements, as pairs of the correct and the faulty text."""
        return ((self.correct, self.faulty), *self.further_edits)


EVERYWHERE = "everywhere = pending.on_own_disk and pending.on_replicas >= set(leadership.view.replicas)"
RECORDED = "if not (view.has_majority(recorded) and candidacy.view.has_quorum(recorded)):"
VOTE_REFUSED = "elif message.epoch <= durable.promised or self._supports_other_leader(sender, view):"
ELIGIBLE = "return view is not None and self._context.me in view.replica_set and state_copy.epoch >= view.epoch"
MAY_SERVE = "return current and leadership.pending is None and self._context.now < leadership.expires_at()"

NOT_APPENDED = (
    "        if not ok:\n            durable.state_copy.mark_damaged()\n"
    '            durable.log_write_failure("a change")\n        elif'
)

TAKES_CHANGES = "return self._context.me in view.replicas and durable.recorded_epoch == view.epoch == durable.promised"
MAY_ACKNOWLEDGE = "return durable.state_copy.epoch == epoch and (learner or durable.promised <= epoch)"
INSTALLED = "if not candidacy.installed >= set(view.replicas):"

FAULTS = (
    # Point 0: faults that do not belong to a single point.
    DeliberateFault(0, "acknowledged without the replica", EVERYWHERE, "everywhere = pending.on_own_disk"),
    DeliberateFault(
        0,
        "acknowledged without the lease",
        "if not everywhere or self._context.now >= leadership.expires_at():",
        "if not everywhere:",
    ),
    DeliberateFault(
        0,
        "acknowledged before the leader's own disk has it",
        EVERYWHERE,
        "everywhere = pending.on_replicas >= set(leadership.view.replicas)",
    ),
    DeliberateFault(
        0,
        "a machine that has lost its state votes",
        "self.state_lost = durable.view is None\n",
        "self.state_lost = False\n        if durable.view is None:\n"
        "            durable.view = ViewRecord(1, min(context.seeds), (), dict.fromkeys(context.seeds, ''))\n",
    ),
    DeliberateFault(
        0,
        "one status answer is enough to vote again",
        "elif len(newest.voters.keys() & set(answered)) >= len(newest.voters) - newest.majority + 1:",
        "elif answered:",
    ),
    DeliberateFault(0, "any voter may lead", ELIGIBLE, "return view is not None and state_copy.epoch >= view.epoch"),
    DeliberateFault(
        0,
        "an old copy counts as complete",
        ELIGIBLE,
        "return view is not None and self._context.me in view.replica_set and state_copy.epoch >= 0",
    ),
    DeliberateFault(
        0,
        "voters do not protect a live leader",
        "guarded = self._role.guards_leader() and sender != view.leader",
        "guarded = False",
    ),
    DeliberateFault(0, "a promise is given twice", VOTE_REFUSED, VOTE_REFUSED.replace("<=", "<")),
    DeliberateFault(
        0,
        "a replica applies changes of another epoch",
        "if view is None or view.epoch != message.epoch or view.leader != sender:\n            return\n        if not",
        "if view is None:\n            return\n        if not",
    ),
    DeliberateFault(0, "a view is in force before a majority has it", RECORDED, "if False:"),
    DeliberateFault(
        0, "new voters decide without the previous voters", RECORDED, "if not view.has_majority(recorded):"
    ),
    DeliberateFault(
        0,
        "one of several replicas is enough",
        EVERYWHERE,
        "everywhere = pending.on_own_disk and bool(pending.on_replicas)",
    ),
    DeliberateFault(
        0,
        "a copy is compared by its change number alone",
        "known = self._history.get(position.number) == position.change_epoch",
        "known = position.number in self._history",
    ),
    DeliberateFault(
        0,
        "a leader starts without a copy on its replicas",
        INSTALLED,
        "if False:",
    ),
    DeliberateFault(
        0,
        "a leader starts before its replicas have recorded the view",
        "if not {self._context.me, *view.replicas} <= recorded:",
        "if self._context.me not in recorded:",
    ),
    DeliberateFault(
        0, "a read is answered without the lease", MAY_SERVE, "return current and leadership.pending is None"
    ),
    DeliberateFault(0, "promises are not stored", "records._replace(promised=epoch)", "records"),
    DeliberateFault(0, "the lease is longer than the voters' guard time", "LEASE_S = 0.6 ", "LEASE_S = 1.6 "),
    DeliberateFault(
        0,
        "a leader with a slow disk stays leader",
        "elif leadership.own_write_since is not None and now - leadership.own_write_since > OWN_WRITE_TIMEOUT_S:",
        "elif False:",
    ),
    # Point 1: machines that are cut off.
    DeliberateFault(
        1,
        "state updates are sent without the lease",
        "                if self.node.holds_lease(now):\n                    converted +=",
        "                if True:\n                    converted +=",
    ),
    DeliberateFault(
        1,
        "a new subscriber gets updates without the lease",
        "        if self.node.holds_lease(now):\n            return [SendToClient",
        "        if True:\n            return [SendToClient",
    ),
    DeliberateFault(
        1,
        "the lease of a new leader starts at a repeated request",
        "acked = {voter: candidacy.record_requested_at for voter in candidacy.recorded}",
        "acked = {voter: candidacy.last_request_at for voter in candidacy.recorded}",
    ),
    DeliberateFault(
        1,
        "the lease starts when the answer arrives",
        "leadership.acked[sender] = max(leadership.acked.get(sender, NEVER), message.sent)",
        "leadership.acked[sender] = self._context.now",
    ),
    DeliberateFault(
        1,
        "a singleton role is granted without contact",
        "return self.holds_lease(now) or now - self.contact_at < CONTACT_TIMEOUT_S",
        "return True",
    ),
    DeliberateFault(
        1,
        "a voter that has not been heard from counts as in contact",
        "Heartbeat(leadership.view, now, holds_lease and hears_voter)",
        "Heartbeat(leadership.view, now, True)",
    ),
    DeliberateFault(
        1,
        "a leader ignores a view of a later epoch",
        "if message.view.epoch > leadership.view.epoch:",
        "if False:",
    ),
    # Point 2: orders of the operator.
    DeliberateFault(
        2,
        "an order is validated against a pending change",
        MAY_SERVE,
        MAY_SERVE.replace("leadership.pending is None and ", ""),
    ),
    DeliberateFault(
        2,
        "a change is confirmed as its leader steps down",
        "        if leadership.pending is not None:\n            self._calls.requeue(leadership.pending.change)\n"
        "        self.send_step_down",
        "        if leadership.pending is not None:\n"
        "            self._context.answer(leadership.pending.change.call_id, None)\n        self.send_step_down",
    ),
    DeliberateFault(
        2,
        "a lower configuration number replaces a higher one",
        "return number_of(state) >= number",
        "return number_of(state) == number",
    ),
    DeliberateFault(
        2,
        "a repeat is validated again",
        "if state is not None and identity is not None and was_accepted(state, identity):",
        "if False:",
    ),
    DeliberateFault(
        2,
        "the end of an evacuation is treated as a repeat",
        'return (current is not None and bool(current["on"])) == begin',
        "return current is not None",
    ),
    # Point 3: a second loss, and machines that leave.
    DeliberateFault(
        3,
        "a learner becomes a fourth voter",
        "after = {name: zone for name, zone in voters.items() if name not in replacements}",
        "after = dict(voters)",
    ),
    DeliberateFault(
        3,
        "a spare gets a vote although no voter is missing",
        "if len(voters) % 2 == 0 or len(voters) < observation.min_voters:",
        "if True:",
    ),
    DeliberateFault(
        3,
        "a learner without a copy gets a vote",
        "return state_copy.has_changes_since(learner.position) and lag <= MAX_LEARNER_LAG",
        "return True",
    ),
    DeliberateFault(
        3,
        "a process ends while it holds a copy",
        "return has_leader and me not in view.replica_set and not self._joining.learners.present()",
        "return True",
    ),
    DeliberateFault(
        3,
        "a missing voter is replaced late",
        "VOTER_REPLACEMENT_TIMEOUT_S = 2.8 ",
        "VOTER_REPLACEMENT_TIMEOUT_S = 8.0 ",
    ),
    DeliberateFault(3, "a lost copy is not repaired", "            self.catch_up.repair_replicas(leadership)\n", ""),
    DeliberateFault(
        3,
        "all copies stay in one zone",
        "if leadership.pending is None and not late and self._can_spread(leadership, available):",
        "if False:",
    ),
    DeliberateFault(
        3,
        "a candidate without a vote receives votes",
        "if self._context.me not in view.electorate or sender not in view.voters:",
        "if self._context.me not in view.electorate:",
    ),
    DeliberateFault(
        3,
        "a silent replica is not replaced",
        "if late and available:\n            return",
        "if False:\n            return",
        (("if late and available:\n            self._exclude", "if False:\n            self._exclude"),),
    ),
    DeliberateFault(
        3,
        "new seeds replace the old ones",
        "self._context.seeds |= set(seeds)",
        "self._context.seeds = set(seeds)",
    ),
    # Point 4: changes, snapshots and disks.
    DeliberateFault(
        4,
        "a change is applied to a state other than its base",
        "elif position != message.base:",
        "elif position.number != message.base.number:",
    ),
    DeliberateFault(
        4,
        "changes are installed on a copy other than their base",
        "elif state_copy.position == message.base:",
        "elif state_copy.position.number >= 0:",
    ),
    DeliberateFault(
        4,
        "writes queued behind a failed write are written",
        "if not ok:  # queued writes may rely on the failed one",
        "if False:",
    ),
    DeliberateFault(
        4,
        "a change whose write failed counts as stored",
        '            durable.state_copy.mark_damaged()\n            durable.log_write_failure("a change")',
        '            durable.log_write_failure("a change")',
    ),
    DeliberateFault(
        4,
        "a change is acknowledged although its write failed",
        NOT_APPENDED,
        "        if",
    ),
    DeliberateFault(
        4,
        "a change is published before it is in force",
        "Publish(self._durable.state_copy.state.copy())",
        "Publish(self._durable.state_copy.state)",
    ),
    DeliberateFault(
        4,
        "a copy with another change counts as equal to the leader's",
        "if message.position.same_change(self._durable.state_copy.position):",
        "if True:",
    ),
    DeliberateFault(
        4,
        "the answer to an earlier change counts",
        "if message.number == self._durable.state_copy.position.number:",
        "if True:",
    ),
    DeliberateFault(
        4,
        "each change sends the complete state",
        "append = Append(leadership.view.epoch, pending.base, pending.position, pending.items)",
        "append = Append(leadership.view.epoch, pending.base, pending.position, self._durable.state_copy.state.items)",
    ),
    DeliberateFault(
        4,
        "learners are never brought up to date",
        "if learner.position == state_copy.position or waited_s < timeout_s:",
        "if True:",
    ),
    # Point 5: each answer and each grant goes to the right recipient, and only once.
    DeliberateFault(
        5,
        "a call that waited too long is answered twice",
        "            self._waiting = deque(call for call in self._waiting if self._context.now <= call.deadline)\n",
        "            pass\n",
    ),
    DeliberateFault(
        5,
        "an answer has the number of another call",
        "self._convert_outputs(now, self.node.submit(now, make(call_id)))",
        "self._convert_outputs(now, self.node.submit(now, make(max(1, call_id - 1))))",
    ),
    DeliberateFault(5, "a grant is answered before it is on disk", "        if not changed:\n", "        if True:\n"),
    DeliberateFault(
        5, "a new voter grants a role immediately", "            self.grantor.pause(now)\n", "            pass\n"
    ),
    DeliberateFault(
        5,
        "a singleton role is granted to two",
        "free = now >= grant.until or (request.holder != grant.holder and same_machine)",
        "free = True",
    ),
    DeliberateFault(
        5,
        "a grant of an earlier term counts",
        "if message.term == self.term and self.attempt_started_at is not None:",
        "if self.attempt_started_at is not None:",
    ),
    DeliberateFault(
        5,
        "a holder relies on a grant for too long",
        "return requested[majority - 1] + GRANT_DURATION_S - EXPIRY_MARGIN_S",
        "return requested[majority - 1] + GRANT_DURATION_S + EXPIRY_MARGIN_S",
    ),
    DeliberateFault(
        5,
        "a process grants a role immediately after its start",
        'Grant(f"{machine}/", term, now + GRANT_DURATION_S) for role',
        'Grant(f"{machine}/", term, now) for role',
    ),
    # Faults that disable two guards, either of which is enough to prevent the failure.
    DeliberateFault(
        0,
        "acknowledged without the lease, by replicas that promised a later epoch",
        "if not everywhere or self._context.now >= leadership.expires_at():",
        "if not everywhere:",
        (
            (TAKES_CHANGES, TAKES_CHANGES.removesuffix(" == durable.promised")),
            (MAY_ACKNOWLEDGE, "return durable.state_copy.epoch == epoch"),
        ),
    ),
    DeliberateFault(
        0,
        "an old copy counts as complete, and a view names replicas without a copy",
        ELIGIBLE,
        "return view is not None and self._context.me in view.replica_set and state_copy.epoch >= 0",
        (
            (INSTALLED, "if False:"),
            ("if not {self._context.me, *view.replicas} <= recorded:", "if self._context.me not in recorded:"),
        ),
    ),
    DeliberateFault(
        0,
        "voters do not protect a live leader, and a silent replica keeps its place",
        "guarded = self._role.guards_leader() and sender != view.leader",
        "guarded = False",
        (("REPLICA_TIMEOUT_S = 0.7 ", "REPLICA_TIMEOUT_S = 2.0 "),),
    ),
    DeliberateFault(
        0,
        "a replica applies changes of another epoch to a state other than their base",
        "if view is None or view.epoch != message.epoch or view.leader != sender:\n            return\n        if not",
        "if view is None:\n            return\n        if not",
        (
            ("elif position != message.base:", "elif position.number != message.base.number:"),
            (MAY_ACKNOWLEDGE, "return True"),
            (TAKES_CHANGES, "return True"),
        ),
    ),
    DeliberateFault(
        3,
        "a view is the basis of a new one although the previous voters have not agreed to it",
        "if not newest.has_quorum(candidacy.votes):",
        "if not newest.has_majority(candidacy.votes):",
        ((RECORDED, "if not (view.has_majority(recorded) and candidacy.view.has_majority(recorded)):"),),
    ),
    DeliberateFault(
        3,
        "a view counts as agreed to as soon as it is recorded",
        "        durable.view = view\n        self._context.known_machines.update(view.voters)",
        "        durable.view = view = view.confirmed()\n        self._context.known_machines.update(view.voters)",
    ),
)
