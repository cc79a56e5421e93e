"""The base class of all messages, and the records that several messages contain."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

# Item name -> (number of the change that set it, value). A value of None marks a removed item.
Items = dict[str, tuple[int, Any]]


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A message between two processes of the system; each subclass has its own tag."""


class ViewRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The leader, replicas and voters of one epoch.

    `replicas` hold a copy of the control state beside the leader's own. `voters` maps address to zone.
    `previous_voters` are those of the preceding view until this view's leader is confirmed; empty afterwards, or if the
    voters have not changed.
    """

    epoch: int
    leader: str
    replicas: tuple[str, ...]
    voters: dict[str, str]
    previous_voters: dict[str, str] = {}

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def replica_set(self) -> tuple[str, ...]:
        """Return the leader and its replicas, each of which has every change acknowledged in this epoch."""
        return self.leader, *self.replicas

    def has_majority(self, names: Iterable[str]) -> bool:
        """Return whether `names` include a majority of the voters."""
        return len(self.voters.keys() & set(names)) >= self.majority

    @property
    def electorate(self) -> dict[str, str]:
        """Return all machines that vote on the next view: the voters and the previous voters, with their zones."""
        return {**self.previous_voters, **self.voters}

    def has_quorum(self, names: Iterable[str]) -> bool:
        """Return whether `names` form a quorum for the view that follows this one.

        Until the previous voters are known to have agreed to this view, a majority of them is required as well.
        """
        agreed = set(names)
        previous = self.previous_voters
        previous_agreed = not previous or 2 * len(previous.keys() & agreed) > len(previous)
        return previous_agreed and self.has_majority(agreed)

    def confirmed(self) -> ViewRecord:
        """Return this view with its leader confirmed."""
        return msgspec.structs.replace(self, previous_voters={})


class Position(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The position of a copy of the control state in the sequence of changes.

    `epoch` is the last epoch in which the copy was complete, or -1; `number` counts changes; `change_epoch` is the
    epoch in which the newest change was written. The leader of an epoch assigns each number once, so a number and its
    `change_epoch` identify one change, and two copies with the same newest change have the same history.
    """

    epoch: int
    number: int
    change_epoch: int

    def same_change(self, other: Position) -> bool:
        """Return whether both copies end with the same change."""
        return self.number == other.number and self.change_epoch == other.change_epoch
