"""How an epoch begins: a holder asks, a majority promises, backups get the copy, a majority records the view.

Each promise is on disk before it is told, and given to one asker an epoch. A view with another electorate than the one
before needs a majority of both.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from roadspur.common.events import Event
from roadspur.control.machine import Machine
from roadspur.control.parts import AGAIN_S, GUARD_S, HOLD_S, TRY_S, YIELD_S, Attempt, Office, Publish
from roadspur.control.views import Copy, View


class Elections(Machine):
    """Attempts at the office, and what a voter answers to them."""

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
        # It gets the time that its attempt takes on slow ways and disks: to ask at once would end it, and so on.
        self.try_at = self.now + YIELD_S + self.rng.random() * YIELD_S

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
