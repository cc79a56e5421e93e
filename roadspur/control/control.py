"""The control state's one machine: founding, epochs, primary and backup, witnesses, take-over.

What is guaranteed, with at most the losses of the settings' `tolerance`:

1. A change is acknowledged only once it is on the disks of the primary and of all its backups (as many as machines
   may be lost), in the present epoch, and the primary's lease stands at that moment.
2. An epoch begins only when a majority of the electorate has written it down, and only a *holder* of the newest epoch
   that this majority knows (its primary or a backup, with its copy on disk) may begin the next one, after its new
   backups have the whole copy on disk. So whoever is primary has everything that was ever acknowledged. An epoch with
   another electorate needs a majority of the one before as well: who asks that one learns of it, or prevents it.
3. A machine that has promised an epoch takes no part in a lower one; what it promised is on its disk before it says
   so.
4. A machine whose disk is empty and that is not founding has *forgotten*: it votes, holds and answers for nothing
   until so many of the others have told it what they know that no majority could have decided without one of them.
5. A primary answers only while a majority has heard it within `LEASE_S`; a voter that has heard one helps nobody else
   to the office for `GUARD_S`, which is longer.

How: inputs are ticks, messages, ends of disk writes and calls; outputs are messages, writes, answers and news. A
reply that rests on something written leaves only after the write has ended (`after`). Witnesses keep epochs (view and
promise) and no state; there is no log: the state is small and a copy is whole. Views as in Vertical Paxos (Lamport
2009), witnesses as in Harp (Liskov 1991), leases as in Gray 1989.

Times are seconds on the machine's steady clock. Cost: a beat a machine of the core each `BEAT_S`; a change costs one
message, one answer and two syncs at once.

By concern: `machine` has what all share, `elections` how an epoch begins, `electorate` who votes; here are the inputs,
the office, changes and calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from roadspur.common.events import Event
from roadspur.common.failures import Failure, Kind
from roadspur.control.electorate import Electorate
from roadspur.control.parts import (
    AGAIN_S,
    BACKUP_S,
    BEAT_S,
    DISK_S,
    GROW_S,
    GUARD_S,
    HOLD_S,
    LEASE_S,
    PART_S,
    SHUN_S,
    TURN_S,
    Answer,
    Change,
    Office,
    Outputs,
    Pending,
    Publish,
    Read,
)
from roadspur.control.views import Copy, View
from roadspur.transport.news import State


class Control(Electorate):
    """One machine of the core."""

    # Inputs.

    def tick(self, now: float) -> Outputs:
        """Time has passed; to be called ten times a second or more."""
        self.now = max(self.now, now)
        if not self.stopped:
            if self.founding:
                self._found()
            elif self.forgot or (self.view is not None and self.me not in self.view.electorate):
                self._learn()
            else:
                self._lead()
            self._expire()
        return self._flush()

    def message(self, now: float, sender: str, table: dict[str, Any]) -> Outputs:
        """A message from another machine of the core."""
        self.now = max(self.now, now)
        self.known[sender] = self.now
        handle = getattr(self, f"_on_{table.get('t')}", None)
        if handle is not None and not self.stopped:
            handle(sender, table)
        return self._flush()

    def linked(self, now: float, other: str) -> Outputs:
        """A connection to a machine of the core stands anew: what was said to it before may be lost."""
        self.now = max(self.now, now)
        attempt = self.attempt
        if not self.stopped and attempt is not None and attempt.stage == "ask" and other not in attempt.said:
            self._ask()
        return self._flush()

    def written(self, now: float, token: int, ok: bool) -> Outputs:
        """A write has ended; `ok`: it is on disk."""
        self.now = max(self.now, now)
        after = self.after.pop(token, None)
        if after is not None and not self.stopped:
            after(ok)
        return self._flush()

    def call(self, now: float, call: Change | Read) -> Outputs:
        """A call from outside; its `Answer` comes now, or within about `HOLD_S` where nobody has the office."""
        self.now = max(self.now, now)
        if self.stopped:
            self.out.append(Answer(call.call, Failure(Kind.ENDING)))
        else:
            self.queue.append(call._replace(until=self.now + HOLD_S))
            self._serve()
            self._turn_away()
        return self._flush()

    def stop(self, now: float) -> Outputs:
        """This process ends in order: the office goes to the backup at once."""
        self.now = max(self.now, now)
        self._leave("this process ends")
        self.stopped = True
        while self.queue:
            self.out.append(Answer(self.queue.popleft().call, Failure(Kind.ENDING)))
        return self._flush()

    def reseed(self, seeds: Iterable[str]) -> None:
        """The settings name other seeds; what was ever learned is kept."""
        self.seeds |= set(seeds)

    # The office.

    def _lead(self) -> None:
        if self.office is not None:
            self._keep_office()
        elif self.attempt is not None:
            self._press()
        elif self.eligible() and self.now - self.beat_at > GUARD_S + self._turn() and self.now >= self.try_at:
            self._stand("the primary is silent")

    def _turn(self) -> float:
        """Of those that may take the office each comes in its turn: all asking at once would only hinder each other."""
        return TURN_S * self.view.holders.index(self.me) if self.view is not None else 0.0

    def _keep_office(self) -> None:
        office = self.office
        assert office is not None
        if self.now >= self.next_beat:
            self.next_beat = self.now + BEAT_S
            office.heard[self.me] = self.now
            for voter in office.view.electorate:
                if voter != self.me:
                    self._send(voter, "lead", view=office.view.packed(), at=self.now)
        if self.now >= self.next_learn:  # machines that have no vote must know of whom to ask for one
            self.next_learn = self.now + 2 * AGAIN_S
            for other in self.others():
                if other not in office.view.electorate:
                    self._teach(other)
        pending = office.pending
        if self.now > office.until() + LEASE_S:
            self._leave("no majority")
        elif office.disk_since is not None and self.now - office.disk_since > DISK_S:
            self._leave("the disk is slow")
        elif self.now < office.until():
            self._mind_backups(office)
            if self.office is office and pending is None:
                self._change_electorate(office)
        if self.office is not None:
            self._serve()

    def _mind_backups(self, office: Office) -> None:
        """Press the backups for what is pending; have others in place of those that are silent."""
        pending, backups = office.pending, office.view.backups
        late = [b for b in backups if self.now - office.backups_heard.get(b, -1e9) > BACKUP_S or (
            pending is not None and b not in pending.there and self.now - pending.since > BACKUP_S)]
        if late:
            others = [v for v in office.view.electorate if v not in office.view.holders
                      and self.now - office.heard.get(v, -1e9) < LEASE_S]
            if others:
                for backup in late:
                    self.shunned[backup] = self.now + SHUN_S
                self._stand("a backup is silent")
        elif pending is not None and len(pending.there) < len(backups) and self.now - pending.asked > AGAIN_S:
            pending.asked = self.now
            self._store(pending)

    def _leave(self, why: str) -> None:
        """Give the office up; what is pending goes back to the queue, and may be in force later or not."""
        office, self.office = self.office, None
        self.attempt = None
        if office is None:
            return
        self._note(Event.NO_OFFICE, office.view.epoch, why)
        if office.pending is not None:
            self.queue.appendleft(office.pending.change._replace(until=self.now + HOLD_S))
        for voter in office.view.electorate:
            if voter != self.me:
                self._send(voter, "vacant", e=office.view.epoch)
        self.try_at = self.now + 2 * GUARD_S + self.rng.random()
        self.primary_at = -1e9

    def _on_vacant(self, sender: str, table: dict[str, Any]) -> None:
        if self.view is not None and self.view.epoch == table["e"] and self.view.primary == sender:
            self.beat_at = self.primary_at = -1e9
            if self.eligible() and self.office is None and self.attempt is None:
                self._stand("the office is vacant")

    # Beats.

    def _on_lead(self, sender: str, table: dict[str, Any]) -> None:
        view = View.unpacked(table["view"])
        if self.forgot or self.me not in view.electorate or view.epoch < self.promised:
            if not self.forgot and view.epoch < self.promised and self.view is not None:
                self._adopt(view)
                if view.epoch >= self.view.epoch:
                    self.primary_at = self.now  # it has promised more, but callers are answered there
                self._send(sender, "deposed", e=view.epoch, promised=self.promised, view=self.view.packed())
            return
        self.beat_at = self.primary_at = self.now
        if self.view is None or self.view.epoch < view.epoch:
            self._on_record(sender, table)
        self._send(sender, "heard", e=view.epoch, at=table["at"])

    def _on_heard(self, sender: str, table: dict[str, Any]) -> None:
        office = self.office
        if office is not None and table["e"] == office.view.epoch:
            office.heard[sender] = max(office.heard.get(sender, -1e9), table["at"])
            if sender in office.view.backups:
                office.backups_heard[sender] = self.now
            self._commit()
            self._serve()

    def _on_deposed(self, sender: str, table: dict[str, Any]) -> None:
        """A voter has promised a higher epoch, and is lost to this office; a recorded one ends it."""
        view = View.unpacked(table["view"])
        if self.office is not None and view.epoch > self.office.view.epoch:
            self._leave(f"epoch {view.epoch} has begun")
            self._adopt(view)
            self.beat_at = self.now
        elif self.office is not None and table["e"] == self.office.view.epoch:
            # It is lost to this epoch: the office goes on with the others until it may begin anew under a higher one.
            if self.now > self.office.until() or (
                    self.office.pending is None and self.now - self.office.since > GROW_S):
                self.promised = max(self.promised, table["promised"])
                self._stand("a voter has promised more")

    # Changes.

    def _serve(self) -> None:
        """Answer what can be answered; keep the next change."""
        office = self.office
        if office is None or self.now >= office.until():
            return
        while self.queue and office.pending is None:
            call = self.queue.popleft()
            state = self.copy.state
            if isinstance(call, Read):
                self.out.append(Answer(call.call, call.answer(state)))
            elif call.settled(state):
                self.out.append(Answer(call.call, None))
            else:
                self._keep(office, call)

    def _keep(self, office: Office, change: Change) -> None:
        state = State(self.copy.state.number, self.copy.state.items, self.copy.state.floor)
        number = state.number + 1
        state.set(number, change.items(state))
        pending = office.pending = Pending(state, change, self.now, self.now, number)
        office.disk_since = self.now
        epoch = office.view.epoch

        def done(ok: bool) -> None:
            if self.office is not office:
                return
            if ok:
                pending.here, office.disk_since = True, None
                self._commit()
                self._serve()
            else:
                self._leave("the disk refuses")
        self._write({"copy": Copy(epoch, state).packed()}, done)
        self._store(pending)

    def _store(self, pending: Pending) -> None:
        assert self.office is not None
        for backup in self.office.view.backups:
            if backup not in pending.there:
                self._send(backup, "store", e=self.office.view.epoch, n=pending.number,
                           copy=Copy(self.office.view.epoch, pending.state).packed())

    def _on_store(self, sender: str, table: dict[str, Any]) -> None:
        epoch, number = table["e"], table["n"]
        if self.view is None or self.view.epoch != epoch or self.promised != epoch or self.copy.epoch != epoch:
            return
        if number > self.copy.state.number:
            self.copy = Copy.unpacked(table["copy"])

        def done(ok: bool) -> None:
            if ok and self.promised == epoch:
                self._send(sender, "stored", e=epoch, n=number)
        self._write({"copy": self.copy.packed()}, done)

    def _on_stored(self, sender: str, table: dict[str, Any]) -> None:
        office = self.office
        if office is None or office.view.epoch != table["e"] or office.pending is None:
            return
        office.backups_heard[sender] = self.now
        if table["n"] == office.pending.number and sender in office.view.backups:
            office.pending.there.add(sender)
            self._commit()
            self._serve()

    def _commit(self) -> None:
        """On all disks that it is to be on, and the lease stands: it is in force, and acknowledged."""
        office = self.office
        if office is None or office.pending is None:
            return
        pending = office.pending
        if not (pending.here and pending.there >= set(office.view.backups)) or self.now >= office.until():
            return
        self.copy = Copy(office.view.epoch, pending.state)
        office.pending = None
        self._note(Event.KEPT, pending.number, pending.change.what)
        self.out.append(Answer(pending.change.call, None))
        self.out.append(Publish(self.copy.state))

    # Calls that wait.

    def _turn_away(self) -> None:
        """Where another has the office, callers go there at once."""
        if self.office is not None or self.attempt is not None or not self.queue or self.view is None:
            return
        if self.view.primary != self.me and self.now - self.primary_at < PART_S:
            while self.queue:
                self.out.append(Answer(self.queue.popleft().call, Failure(Kind.ELSEWHERE, where=self.view.primary)))

    def _expire(self) -> None:
        self._turn_away()
        if self.queue:
            late = [c for c in self.queue if self.now > c.until]
            if late:
                self.queue = deque(c for c in self.queue if self.now <= c.until)
                for call in late:
                    self.out.append(Answer(call.call, Failure(Kind.NO_OFFICE)))
