"""Who votes: founding once with all who are there, learning after a disk was lost, machines that come and go.

A machine that has forgotten votes for nothing until so many have told it that no majority could have decided without
one of them; one that has no vote may be given one once it knows by a majority what is promised.
"""

from __future__ import annotations

from typing import Any

from roadspur.common.events import Event
from roadspur.control.elections import Elections
from roadspur.control.parts import (
    AGAIN_S,
    FOUND_S,
    GROW_S,
    LEASE_S,
    LEAST,
    PART_S,
    SHRINK_S,
    Attempt,
    Office,
)
from roadspur.control.views import Copy, View
from roadspur.transport.news import State


class Electorate(Elections):
    """Founders, those that forgot, guests and those that are gone."""

    # Founding.

    def _found(self) -> None:
        """All founders tell the first seed; it begins once all have come and no more do."""
        founder = min(self.seeds)
        if self.now >= self.next_learn:
            self.next_learn = self.now + AGAIN_S
            for seed in sorted(self.seeds - {self.me}):
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
        for other in self.others():
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

    # Machines that come and go, by the primary's word.

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
