"""The leader's heartbeats to the voters, which renew its lease, and its status messages to all other machines."""

from __future__ import annotations

from thistleusher.control.context import Context
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import Leadership
from thistleusher.control.timing import HEARTBEAT_INTERVAL_S, LEASE_S, NEVER, RETRY_INTERVAL_S
from thistleusher.transport.messages import Heartbeat, HeartbeatAck

STATUS_INTERVAL_S = 2 * RETRY_INTERVAL_S  # interval of the leader's status messages to machines without a vote


class Heartbeats:
    """One node's heartbeats while it leads."""

    def __init__(self, context: Context, joining: Joining) -> None:
        self._context = context
        self._joining = joining
        self._next_heartbeat_at = context.now
        self._next_status_at = context.now

    def restart(self) -> None:
        """Reset for a new leadership."""
        self._next_heartbeat_at = self._context.now
        self._next_status_at = self._context.now

    def send_if_due(self, leadership: Leadership) -> None:
        """Send heartbeats if `HEARTBEAT_INTERVAL_S` has passed."""
        if self._context.now >= self._next_heartbeat_at:
            self.send(leadership)

    def send(self, leadership: Leadership) -> None:
        """Send a heartbeat to each other voter.

        The heartbeat tells whether this leader has a valid lease and hears the voter. Only then does the voter count as
        in contact with a leader that has a majority, as it must be to grant singleton roles.
        """
        now = self._context.now
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        leadership.acked[self._context.me] = leadership.last_heard[self._context.me] = now
        holds_lease = now < leadership.expires_at()
        for voter in leadership.view.voters:
            if voter != self._context.me:
                hears_voter = now - leadership.last_heard.get(voter, NEVER) < LEASE_S
                self._context.send(voter, Heartbeat(leadership.view, now, holds_lease and hears_voter))
        if now >= self._next_status_at:  # machines without a vote must know the voters, to ask them for one
            self._next_status_at = now + STATUS_INTERVAL_S
            for peer in self._joining.known_peers():
                if peer not in leadership.view.voters:
                    self._joining.send_status(peer)

    def record_ack(self, leadership: Leadership, sender: str, message: HeartbeatAck) -> None:
        """Record a voter's answer. It extends the lease from the sending time of the answered heartbeat."""
        leadership.acked[sender] = max(leadership.acked.get(sender, NEVER), message.sent)
        leadership.record_heard(sender, self._context.now)
