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
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadspur.catalogue.events import Event
from roadspur.catalogue.failures import Failure, Kind
from roadspur.courier.news import State
from roadspur.stacks.views import Copy, Kept, View

BEAT_S = 0.12
LEASE_S = 0.6      # of a primary, from when it asked
GUARD_S = 0.8      # of a voter, from when it heard
GROW_S = 2.0       # for which a machine without a vote must have been heard before it gets one
SHRINK_S = 20.0    # without a word, after which a voter is taken out of the electorate
LEAST = 3          # voters that are always left
FOUND_S = 1.2      # in which all founders come
AGAIN_S = 0.25     # between repeats of what has no answer yet
TURN_S = 0.15     # by which the backup asks later than the old primary
RETURN_S = 0.1     # after its start, in which a primary that comes back finds its voters
TRY_S = 1.0        # after which an attempt at the office is given up
DISK_S = 0.6       # that a write of the primary may take before it leaves the office
BACKUP_S = 0.7     # without a word from the backup, or without its answer to a change, before another takes its place
HOLD_S = 0.8       # that a call waits for somebody to hold the office
PART_S = 0.5       # without a beat, after which a primary is no address to send a caller to
SHUN_S = 5.0       # in which a backup that failed is not chosen again while there is another

Outputs = list["Output"]


class Send(NamedTuple):
    """A message to the control machine at an address."""

    to: str
    table: dict[str, Any]


class Write(NamedTuple):
    """Records to be on disk together, synced; `Control.written` is told of `token`."""

    token: int
    records: dict[str, Any]


class Answer(NamedTuple):
    """The one answer to a call: None for kept, a document, or a Failure."""

    call: Any
    answer: Any


class Publish(NamedTuple):
    """The state as it is in force, to be told to all that follow it."""

    state: State


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = Send | Write | Answer | Publish | Note


class Change(NamedTuple):
    """A call that alters items. `settled`: whether the state makes it needless; `items`: what it sets."""

    call: Any
    settled: Callable[[State], bool]
    items: Callable[[State], dict[str, Any]]
    what: str
    until: float = 0.0


class Read(NamedTuple):
    """A call that is answered from the state, by a holder of the office."""

    call: Any
    answer: Callable[[State], Any]
    until: float = 0.0


@dataclass(slots=True)
class Pending:
    """A change that is being kept."""

    state: State
    change: Change
    since: float
    asked: float
    number: int
    here: bool = False
    there: set[str] = field(default_factory=set)  # backups that have it on disk


@dataclass(slots=True)
class Office:
    """What a primary has to do with."""

    view: View
    heard: dict[str, float]  # when each voter was asked what it has answered
    since: float
    backups_heard: dict[str, float]
    pending: Pending | None = None
    disk_since: float | None = None

    def until(self) -> float:
        """To when the lease stands."""
        asked = sorted((self.heard.get(v, -1e9) for v in self.view.electorate), reverse=True)
        return asked[self.view.majority - 1] + LEASE_S


@dataclass(slots=True)
class Attempt:
    """An attempt at the office of one epoch: 'ask' for promises, 'sync' the backup, 'record' the view."""

    epoch: int
    view: View  # the newest known, to be followed by the next
    since: float
    asked: float
    stage: str = "ask"
    said: dict[str, View | None] = field(default_factory=dict)
    next: View | None = None
    tried: set[str] = field(default_factory=set)
    synced: set[str] = field(default_factory=set)
    wanted: Mapping[str, str] | None = None  # another electorate than that of `view`


class Control:
    """One machine of the core."""

    def __init__(self, me: str, zone: str, seeds: Iterable[str], bootstrap: bool, kept: Kept, now: float,
                 rng: random.Random, tolerance: int = 1) -> None:
        """`tolerance`: machines that may be lost at once, as the settings say."""
        self.tolerance = tolerance
        self.guests: dict[str, tuple[str, float, float]] = {}  # without a vote: zone, heard first and last
        self.admitted = False  # it has no vote, and knows by a majority what is promised: it may be given one
        self.me, self.zone, self.rng = me, zone, rng
        self.seeds = set(seeds)
        self.promised, self.view, self.copy = kept.promised, kept.view, kept.copy
        self.founding = bootstrap and kept.view is None and kept.promised == 0
        self.forgot = kept.view is None and not self.founding
        self.founders: dict[str, tuple[str, float]] = {}
        self.taught: dict[str, tuple[View | None, int]] = {}
        self.asker, self.told = "", False  # to whom the newest promise was given in this life, and whether it was told
        self.born = now
        self.now = now
        self.beat_at = now  # when a primary was last heard; a voter that starts may have heard one just before
        self.primary_at = -1e9  # the same, but for sending callers there
        self.office: Office | None = None
        self.attempt: Attempt | None = None
        self.try_at = now + GUARD_S + rng.random() * 0.1
        if self.view is not None and self.view.primary == me:
            # The primary was an earlier life of this very process: nobody holds its office, and nobody guards it from
            # its own machine.
            self.beat_at, self.try_at = -1e9, now + RETURN_S
        self.next_beat = self.next_learn = now
        self.queue: deque[Change | Read] = deque()
        self.after: dict[int, Callable[[bool], None]] = {}
        self.token = 0
        self.shunned: dict[str, float] = {}
        self.known: dict[str, float] = {}  # addresses that anything came from, and when
        self.stopped = False
        self.out: Outputs = []

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

    # Helpers.

    def _flush(self) -> Outputs:
        out, self.out = self.out, []
        return out

    def _note(self, event: Event, *fields: object) -> None:
        self.out.append(Note(event, fields))

    def _note_view(self, view: View) -> None:
        self._note(Event.VIEW, view.epoch, view.primary, ", ".join(view.backups))

    def _write(self, records: dict[str, Any], after: Callable[[bool], None]) -> None:
        self.token += 1
        self.after[self.token] = after
        self.out.append(Write(self.token, records))

    def _send(self, to: str, kind: str, **fields: Any) -> None:
        self.out.append(Send(to, {"t": kind, **fields}))

    def _others(self) -> list[str]:
        """All machines of the core that are known, but this one."""
        voters = self.view.electorate if self.view is not None else {}
        return sorted(({*self.seeds, *self.known, *voters}) - {self.me})

    def _promise(self, epoch: int, records: dict[str, Any], after: Callable[[], None]) -> None:
        """Write a promise and what goes with it; `after` follows only if it is on disk and nothing higher came."""
        self.promised, self.asker, self.told = epoch, "", False
        if self.office is not None and epoch > self.office.view.epoch:
            self._leave(f"epoch {epoch} was promised")

        def done(ok: bool) -> None:
            if not ok:
                self._note(Event.DISK, f"promise of epoch {epoch} not written")
            elif self.promised == epoch:
                after()
        self._write({"promise": {"e": epoch}, **records}, done)

    # Founding.

    def _found(self) -> None:
        """All founders tell the first seed; it begins once all have come and no more do."""
        founder = min(self.seeds)
        if self.now >= self.next_learn:
            self.next_learn = self.now + AGAIN_S
            for seed in self.seeds - {self.me}:
                self._send(seed, "found", z=self.zone)
        if founder != self.me:
            return
        self.founders.setdefault(self.me, (self.zone, self.now))
        last = max(at for _, at in self.founders.values())
        whole = self.seeds <= self.founders.keys()
        if self.attempt is None and whole and self.now - self.born > FOUND_S and self.now - last > FOUND_S / 2:
            electorate = {ip: zone for ip, (zone, _) in self.founders.items()}
            nothing = View(0, self.me, (), electorate)
            self.attempt = Attempt(1, nothing, self.now, self.now)
            self.copy = Copy(1, State())
            self._note(Event.CANDIDATE, 1, "founding")
            self._promise(1, {"copy": self.copy.packed()}, self._sync_backups)
        elif self.attempt is not None:
            self._press()

    def _on_found(self, sender: str, table: dict[str, Any]) -> None:
        if self.founding and sender not in self.founders:
            self.founders[sender] = (table["z"], self.now)
        elif not self.founding and self.view is not None:
            self._teach(sender)

    # A machine that has forgotten, or that has no vote.

    def _learn(self) -> None:
        if self.now < self.next_learn:
            return
        self.next_learn = self.now + AGAIN_S
        for other in self._others():
            self._send(other, "learn", z=self.zone, ok=self.admitted)

    def _on_learn(self, sender: str, table: dict[str, Any]) -> None:
        if self.view is None or self.forgot:
            return
        self._teach(sender)
        if sender not in self.view.electorate and table["ok"]:
            zone, first, last = self.guests.get(sender, (table["z"], self.now, self.now))
            self.guests[sender] = table["z"], first if self.now - last < GROW_S else self.now, self.now

    def _teach(self, sender: str) -> None:
        assert self.view is not None
        heard = self.office is not None or self.now - self.primary_at < PART_S
        self._send(sender, "taught", view=self.view.packed(), e=self.promised, heard=heard)

    def _on_taught(self, sender: str, table: dict[str, Any]) -> None:
        view = View.unpacked(table["view"])
        if self.founding and self.promised == 0:
            self.founding, self.forgot = False, True  # founded without this one's knowing, or without this one
        for other in view.electorate:  # the seeds are three: who forgot must ask those that they name, too
            self.known.setdefault(other, self.now)
        if table["heard"]:
            self.primary_at = self.now
        if self.view is not None and self.me not in self.view.electorate and view.epoch > self.view.epoch:
            self.view = view
        if not self.forgot and (self.view is None or self.me in self.view.electorate):
            return
        self.taught[sender] = (view, table["e"])
        newest = max((v for v, _ in self.taught.values() if v is not None), key=lambda v: v.epoch)
        told = [ip for ip in self.taught if ip in newest.electorate and ip != self.me]
        if self.me not in newest.electorate:
            self.view = newest  # it has no vote, and sends callers on
            if newest.has_majority(told):
                self.admitted = True
                self.promised = max(self.promised, *(e for _, e in self.taught.values()))
                self.taught = {}
        elif len(told) >= len(newest.electorate) - newest.majority + 1:
            promised = max(e for _, e in self.taught.values())
            self.view, self.promised, self.copy = newest, promised, Copy()
            self.beat_at = self.now

            def learned(ok: bool) -> None:
                if ok:
                    self.forgot = False
                    self._note_view(newest)
                else:
                    self.view, self.taught = None, {}
            self.taught = {}
            self._write({"promise": {"e": promised}, "view": newest.packed(), "copy": self.copy.packed()}, learned)

    # The office.

    def eligible(self) -> bool:
        """Whether this machine holds everything that was acknowledged in the newest epoch it knows."""
        return (self.view is not None and self.me in self.view.holders and self.copy.epoch >= self.view.epoch
                and not self.forgot)

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
            for other in self._others():
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

    def _change_electorate(self, office: Office) -> None:
        """Give a vote to a machine that has come to stay, take it from one that is gone; one at a time."""
        electorate = dict(office.view.electorate)
        here = [v for v in electorate if self.now - office.heard.get(v, -1e9) < LEASE_S]
        for guest, (_, _, last) in list(self.guests.items()):
            if self.now - last > GROW_S or guest in electorate:
                del self.guests[guest]
        gone = [v for v in electorate if self.now - max(office.heard.get(v, -1e9), office.since) > SHRINK_S]
        come = [g for g, (_, first, _) in self.guests.items() if self.now - first > GROW_S]
        if len(here) < office.view.majority or self.now - office.since < GROW_S:
            return
        if come:
            electorate[come[0]] = self.guests.pop(come[0])[0]
            why = f"{come[0]} gets a vote"
        elif gone and len(electorate) > LEAST:
            del electorate[gone[0]]
            why = f"{gone[0]} is gone and loses its vote"
        else:
            return
        self._stand(why, electorate)

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

    def _stand(self, why: str, electorate: Mapping[str, str] | None = None) -> None:
        """Ask for the next epoch, with another electorate where one is given."""
        assert self.view is not None
        office = self.office
        epoch = max(self.promised, self.view.epoch) + 1
        self._note(Event.CANDIDATE, epoch, why)
        if office is not None:  # of its own accord: its voters still guard it, and know it as the one that asks
            self.office = None
            if office.pending is not None:
                self.queue.appendleft(office.pending.change._replace(until=self.now + 2 * HOLD_S))
        self.attempt = Attempt(epoch, self.view, self.now, self.now, wanted=electorate)
        self._promise(epoch, {}, self._ask)

    def _ask(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch != self.promised:
            return
        attempt.said[self.me] = self.view
        for voter in attempt.view.electorate:
            if voter not in attempt.said:
                self._send(voter, "ask", e=attempt.epoch, view=attempt.view.packed())

    def _on_ask(self, sender: str, table: dict[str, Any]) -> None:
        epoch = table["e"]
        if self.view is None or self.forgot:
            return
        self._adopt(View.unpacked(table["view"]))
        if self.me not in self.view.electorate:
            return
        if sender not in self.view.electorate:
            self._send(sender, "refused", e=epoch, promised=self.promised, view=self.view.packed())
            return
        if epoch == self.promised and sender == self.asker:  # the answer to its first question was lost, or is coming
            if self.told:
                self._send(sender, "promised", e=epoch, view=self.view.packed())
            return
        guarded = self.now - self.beat_at < GUARD_S and sender != self.view.primary
        mine = self.office is not None and self.now < self.office.until()
        if epoch <= self.promised or guarded or mine:
            self._send(sender, "refused", e=epoch, promised=self.promised, view=self.view.packed())
            return
        self.attempt = None
        view = self.view

        def tell() -> None:
            self.told = True
            self._send(sender, "promised", e=epoch, view=view.packed())
        self._promise(epoch, {}, tell)
        self.asker = sender

    def _on_refused(self, sender: str, table: dict[str, Any]) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch != table["e"]:
            return
        self._adopt(View.unpacked(table["view"]))
        if table["promised"] >= attempt.epoch:
            self.attempt = None
            self.promised = max(self.promised, table["promised"])  # kept with the next promise; it is no vote
            self.try_at = self.now + 0.1 + self.rng.random() * 0.4

    def _adopt(self, view: View) -> None:
        """A newer view than the known one was recorded somewhere: this machine may hold nothing any more."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view

    def _on_promised(self, sender: str, table: dict[str, Any]) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch != table["e"] or attempt.stage != "ask":
            return
        attempt.said[sender] = View.unpacked(table["view"])
        self._advance()

    def _advance(self) -> None:
        """With a majority's promises: follow the newest view that it knows, if this machine holds that one's state."""
        attempt = self.attempt
        assert attempt is not None
        newest = max((v for v in attempt.said.values() if v is not None), key=lambda v: v.epoch)
        self._adopt(newest)
        if newest.epoch > attempt.view.epoch:  # others may vote by now: they are asked too
            attempt.view, attempt.wanted = newest, None
            self._ask()
        if not newest.has_majority(attempt.said):
            return
        if not self.eligible():
            self.attempt = None
            self.try_at = self.now + GUARD_S + self.rng.random()
            return
        self.copy = Copy(attempt.epoch, self.copy.state)
        attempt.stage = "copy"
        epoch = attempt.epoch

        def done(ok: bool) -> None:
            if ok and self.attempt is not None and self.attempt.epoch == epoch == self.promised:
                self._sync_backups()
        self._write({"copy": self.copy.packed()}, done)

    def _sync_backups(self) -> None:
        """Choose the backups, in another zone where one answers, and give them the whole copy."""
        attempt = self.attempt
        if attempt is None:
            return
        attempt.stage = "sync"
        voters = attempt.view.electorate
        electorate = attempt.wanted if attempt.wanted is not None else voters
        there = set(attempt.said) if attempt.said else set(voters)
        count = attempt.view.copies(self.tolerance)

        def rank(ip: str) -> tuple[bool, bool, bool, bool, bool, str]:
            return (ip not in attempt.synced, ip in attempt.tried, self.shunned.get(ip, -1e9) > self.now,
                    ip not in there, voters[ip] == self.zone, ip)
        # Of the old electorate alone: a machine that is new votes by the record of the view that names it.
        order = sorted((ip for ip in voters if ip != self.me and ip in electorate), key=rank)
        backups = order[:count]
        abroad = next((ip for ip in order if voters[ip] != self.zone and ip in there and ip not in attempt.tried), None)
        if abroad is not None and all(voters[ip] == self.zone for ip in backups):
            backups[-1] = abroad
        attempt.tried |= set(backups)
        attempt.asked = self.now
        attempt.next = View(attempt.epoch, self.me, tuple(backups), electorate)
        for backup in backups:
            if backup not in attempt.synced:
                self._send(backup, "sync", e=attempt.epoch, copy=self.copy.packed())

    def _on_sync(self, sender: str, table: dict[str, Any]) -> None:
        epoch = table["e"]
        if epoch < self.promised or self.forgot or (self.founding and sender not in self.seeds):
            return
        if self.view is not None and self.view.epoch >= epoch:
            return
        if not self.founding and (self.view is None or self.me not in self.view.electorate):
            return
        self.attempt = None
        self.copy = Copy.unpacked(table["copy"])
        self._promise(epoch, {"copy": self.copy.packed()}, lambda: self._send(sender, "synced", e=epoch))

    def _on_synced(self, sender: str, table: dict[str, Any]) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch != table["e"] or attempt.stage != "sync" or attempt.next is None:
            return
        attempt.synced.add(sender)
        if not attempt.synced >= set(attempt.next.backups):
            return
        attempt.stage, attempt.asked = "record", self.now
        attempt.said = {}
        following = attempt.next

        def done(ok: bool) -> None:
            if ok and self.attempt is attempt and self.promised == attempt.epoch:
                attempt.said[self.me] = following
                self._recorded()
        self._write({"view": following.packed(), "promise": {"e": attempt.epoch}}, done)
        self._record()

    def _record(self) -> None:
        attempt = self.attempt
        assert attempt is not None and attempt.next is not None
        for voter in {**attempt.view.electorate, **attempt.next.electorate}:
            if voter not in attempt.said and voter != self.me:
                self._send(voter, "record", view=attempt.next.packed())

    def _on_record(self, sender: str, table: dict[str, Any]) -> None:
        view = View.unpacked(table["view"])
        if (self.forgot and not self.admitted) or view.epoch < self.promised:
            return
        was = self.view is not None and self.me in self.view.electorate
        if self.me not in view.electorate and not was:
            return  # one that loses its vote records that too, as the electorate before decides with the new one
        if self.view is not None and view.epoch == self.promised and self.view.epoch == view.epoch:
            self._send(sender, "recorded", e=view.epoch)
            return
        self.attempt = None
        records: dict[str, Any] = {"view": view.packed()}
        if self.forgot or (self.view is not None and not was):  # its first vote: it holds nothing
            self.copy, self.forgot, self.admitted = Copy(), False, False
            records["copy"] = self.copy.packed()
        self.view, self.founding = view, False
        self.beat_at = self.primary_at = self.now
        self._promise(view.epoch, records, lambda: self._send(sender, "recorded", e=view.epoch))
        self._note_view(view)

    def _on_recorded(self, sender: str, table: dict[str, Any]) -> None:
        attempt = self.attempt
        if attempt is None or attempt.epoch != table["e"] or attempt.stage != "record":
            return
        attempt.said[sender] = attempt.next
        self._recorded()

    def _recorded(self) -> None:
        """With a majority's records, its own among them, the office begins."""
        attempt = self.attempt
        assert attempt is not None and attempt.next is not None
        view = attempt.next
        if self.me not in attempt.said or not (
                view.has_majority(attempt.said) and attempt.view.has_majority(attempt.said)):
            return
        if self.founding and self.now - attempt.since < TRY_S and len(attempt.said) < len(view.electorate):
            return
        if self.founding:
            self._note(Event.FOUNDED, ", ".join(sorted(view.electorate)))
        self.view, self.attempt, self.founding = view, None, False
        self.office = Office(view, {self.me: self.now}, self.now, dict.fromkeys(view.backups, self.now))
        for voter in attempt.said:  # they guard it from when they recorded; what they say to the next beat is the lease
            self.office.heard.setdefault(voter, attempt.asked)
        self.next_beat = self.now
        self._note(Event.OFFICE, view.epoch, ", ".join(view.backups))
        self.out.append(Publish(self.copy.state))
        self._keep_office()

    def _press(self) -> None:
        """Repeat what has no answer; give up what takes too long."""
        attempt = self.attempt
        assert attempt is not None
        if not self.founding and self.now - attempt.since > TRY_S:
            self.attempt = None
            self.try_at = self.now + 0.2 + self.rng.random() * 0.5
        elif self.now - attempt.asked > AGAIN_S:
            attempt.asked = self.now
            if attempt.stage == "ask":
                self._ask()
            elif attempt.stage == "sync":
                self._sync_backups()
            elif attempt.stage == "record":
                self._record()
                if self.founding:
                    self._recorded()

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
