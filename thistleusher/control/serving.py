"""The leader's service of waiting calls: reads of the committed state, and changes one at a time.

Guarantee: a read is answered only from data that is on the disks of the leader and all its replicas, and only if the
lease is valid at the time of the current input. No call is therefore served while a change is pending: the leader's own
copy is then ahead of the committed state.
"""

from __future__ import annotations

from thistleusher.common.errors import ServiceError
from thistleusher.common.events import Event
from thistleusher.control.calls import CallQueue
from thistleusher.control.context import Context
from thistleusher.control.durable import DurableState
from thistleusher.control.interface import Call, Change, DeferredChange, Read
from thistleusher.control.joining import Joining
from thistleusher.control.leadership import Leadership
from thistleusher.control.replication import Replication
from thistleusher.control.role import Role


class Serving:
    """One node's service of calls while it leads."""

    def __init__(self, context: Context, durable: DurableState, role: Role, joining: Joining, calls: CallQueue) -> None:
        self._context = context
        self._durable = durable
        self._role = role
        self._calls = calls
        self.replication = Replication(context, durable, role, joining, self.serve)

    def serve(self) -> None:
        """Serve waiting calls until one of them begins a change."""
        leadership = self._role.leadership
        while leadership is not None and self._calls and self._may_serve(leadership):
            self._serve_one(leadership, self._calls.take())

    def _may_serve(self, leadership: Leadership) -> bool:
        current = self._role.leadership is leadership and not self._role.stopping
        return current and leadership.pending is None and self._context.now < leadership.expires_at()

    def _serve_one(self, leadership: Leadership, call: Call) -> None:
        state = self._durable.state_copy.state
        try:
            if isinstance(call, Read):
                self._context.answer(call.call_id, call.answer(state))
            else:
                self._serve_change(leadership, call.change(state) if isinstance(call, DeferredChange) else call)
        except ServiceError as failure:
            self._context.answer(call.call_id, failure)

    def _serve_change(self, leadership: Leadership, change: Change) -> None:
        """Begin a change, or acknowledge it at once if the committed state makes it unnecessary."""
        if change.is_redundant(self._durable.state_copy.state):
            self._context.log(Event.CHANGE_WITHOUT_EFFECT, change.description)
            self._context.answer(change.call_id, None)
        else:
            self.replication.begin_change(leadership, change)
