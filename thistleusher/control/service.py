"""The logic of one control process: the control node, grants of singleton roles, and updates to subscribers.

`ControlNode` maintains the replicated state. In addition, each voter in contact with a leader that has a majority
grants leases of singleton roles, and a leader sends state updates to subscribers, but only if its lease is valid at the
time of the current input. Inputs and outputs are those of the node, and messages from and to connected clients. Pure;
times are seconds on the steady clock.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from thistleusher.common.errors import ServiceError
from thistleusher.control.founding_view import is_founding
from thistleusher.control.interface import (
    Answer,
    Call,
    Change,
    Output,
    Publish,
    PublishChange,
    Records,
    SendToClient,
    ServiceOutput,
    Write,
)
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.state_copy import NO_EPOCH
from thistleusher.transport.messages import (
    AnyMessage,
    CoreInfo,
    ItemsPersisted,
    LeaseReleased,
    LeaseRequest,
    PersistItems,
    StateUpdate,
    StateUpdateAck,
    SubscribeRequest,
)
from thistleusher.transport.state_updates import Publisher, State


class PersistRequest(NamedTuple):
    """A client's request to persist items that waits for the answer to its call."""

    client: str
    request: str  # the client's own id of the request


class ControlService:
    """One control process."""

    def __init__(self, node: ControlNode, grantor: LeaseGrantor) -> None:
        self.node = node
        self.grantor = grantor
        self.next_call_id = 1
        self.subscribers: set[str] = set()
        self.publisher = Publisher(State())  # publishes the committed state; the node's own copy may be ahead of it
        self._pending_grants: dict[int, SendToClient] = {}  # write token -> answer that waits for the write
        self._grant_tokens = itertools.count(-1, -1)  # negative, to differ from the node's own write tokens
        self._persist_requests: dict[int, PersistRequest] = {}  # call id -> request
        self._held_lease = False  # whether the lease was valid at the previous input
        self._announced_epoch = NO_EPOCH  # epoch of the view that subscribers were last notified of
        self._was_voter = node.founding or node.is_voter

    # Inputs.

    def tick(self, now: float) -> list[ServiceOutput]:
        """Run all actions that are due. Must be called at least ten times a second."""
        return [*self._convert_outputs(now, self.node.tick(now)), *self._announce_core(now)]

    def connected(self, now: float, peer: str) -> list[ServiceOutput]:
        """Handle a new connection to a machine of the core."""
        return self._convert_outputs(now, self.node.connected(now, peer))

    def write_completed(self, now: float, token: int, ok: bool) -> list[ServiceOutput]:
        """Handle the end of a write; `ok`: whether the records are on disk."""
        if token >= 0:
            return self._convert_outputs(now, self.node.write_completed(now, token, ok))
        answer = self._pending_grants.pop(token, None)
        return [answer] if ok and answer is not None and self.node.in_contact(now) else []

    def submit(self, now: float, make: Callable[[int], Call]) -> tuple[int, list[ServiceOutput]]:
        """Accept the call that `make` creates from its id; return that id, which its `Answer` has too, and the outputs.

        The outputs may already include the answer: a caller that must be prepared for it reads `next_call_id` first.
        """
        call_id = self.next_call_id
        self.next_call_id += 1
        return call_id, self._convert_outputs(now, self.node.submit(now, make(call_id)))

    def stop(self, now: float) -> list[ServiceOutput]:
        """Begin a graceful stop, which is complete once `ControlNode.can_stop` is true."""
        return self._convert_outputs(now, self.node.stop(now))

    def receive(self, now: float, name: str, message: AnyMessage) -> list[ServiceOutput]:
        """Handle a message from a machine of the core or from a client."""
        if isinstance(message, LeaseRequest):
            return self._grant(now, name, message)
        if isinstance(message, LeaseReleased):
            self.grantor.release(message)
        elif isinstance(message, SubscribeRequest):
            return self._subscribe(now, name, message.number)
        elif isinstance(message, StateUpdateAck):
            self.publisher.acknowledge(name, message.number)
        elif isinstance(message, PersistItems):
            return self._persist(now, name, message)
        elif name:
            return self._convert_outputs(now, self.node.receive(now, name, message))
        return []

    def disconnected(self, name: str) -> None:
        """Handle the end of a client's connection."""
        self.subscribers.discard(name)
        self.publisher.unsubscribe(name)

    # Leases of singleton roles.

    def _grant(self, now: float, name: str, request: LeaseRequest) -> list[ServiceOutput]:
        """Answer a lease request if this machine is a voter in contact with a leader; otherwise do not answer.

        A new grant is on disk before its answer is sent, so that a restarted process cannot grant the role to another.
        """
        self._track_voter_status(now)
        view = self.node.view
        if view is None or not self.node.in_contact(now):
            return []
        answer, changed = self.grantor.decide(now, request, view.epoch)
        if not changed:
            return [SendToClient(name, answer)]
        token = next(self._grant_tokens)
        self._pending_grants[token] = SendToClient(name, answer)
        return [Write(token, Records(leases=self.grantor.to_records()))]

    def _track_voter_status(self, now: float) -> None:
        """Pause the grantor if this machine has just become a voter."""
        is_voter = self.node.founding or self.node.is_voter
        if is_voter and not self._was_voter:
            self.grantor.pause(now)
        self._was_voter = is_voter

    # Subscribers.

    def _subscribe(self, now: float, name: str, number: int) -> list[ServiceOutput]:
        """Add a subscriber. A leader with a valid lease sends it the state at once, any other machine once it leads."""
        self.subscribers.add(name)
        if self.node.holds_lease(now):
            return [SendToClient(name, self._core_info()), *self._updates(self.publisher.subscribe(name, number))]
        self.publisher.unsubscribe(name)
        self.publisher.sent[name] = self.publisher.acknowledged[name] = number
        return [SendToClient(name, self._core_info())]

    def _persist(self, now: float, name: str, message: PersistItems) -> list[ServiceOutput]:
        """Submit a change that sets a client's items. The client receives `ItemsPersisted` with the result."""
        items = message.items
        self._persist_requests[self.next_call_id] = PersistRequest(name, message.request_id)

        def is_persisted(state: State) -> bool:
            return all(state.value(item) == value for item, value in items.items())

        _, outputs = self.submit(
            now, lambda call: Change(call, is_persisted, lambda state: items, "the registry's items")
        )
        return outputs

    def _core_info(self) -> CoreInfo:
        view = self.node.view
        if view is None or is_founding(view):
            return CoreInfo((), 0, "")
        return CoreInfo(tuple(sorted(view.voters)), view.epoch, view.leader)

    def _announce_core(self, now: float) -> list[ServiceOutput]:
        """Notify subscribers of a new view, and when this machine's lease becomes valid."""
        self._track_voter_status(now)
        view, holds_lease = self.node.view, self.node.holds_lease(now)
        lease_began = holds_lease and not self._held_lease
        self._held_lease = holds_lease
        if not lease_began and (view is None or view.epoch == self._announced_epoch):
            return []
        self._announced_epoch = view.epoch if view is not None else NO_EPOCH
        outputs: list[ServiceOutput] = [SendToClient(name, self._core_info()) for name in sorted(self.subscribers)]
        if lease_began:  # changes that were committed before the lease became valid
            outputs += self._updates(self.publisher.updates_due())
        return outputs

    def _updates(self, messages: Iterable[tuple[str, StateUpdate]]) -> list[ServiceOutput]:
        return [SendToClient(name, message) for name, message in messages if name in self.subscribers]

    # Outputs of the node.

    def _convert_outputs(self, now: float, outputs: Iterable[Output]) -> list[ServiceOutput]:
        """Convert the node's outputs into those of the process, in order."""
        converted: list[ServiceOutput] = []
        for output in outputs:
            if isinstance(output, Publish | PublishChange):
                self._publish(output)
                converted += self._announce_core(now)
                if self.node.holds_lease(now):
                    converted += self._updates(self.publisher.updates_due())
            elif isinstance(output, Answer) and output.call_id in self._persist_requests:
                request = self._persist_requests.pop(output.call_id)
                persisted = not isinstance(output.answer, ServiceError)
                converted.append(SendToClient(request.client, ItemsPersisted(request.request, persisted)))
            else:
                converted.append(output)
        return converted

    def _publish(self, publish: Publish | PublishChange) -> None:
        """Update the committed state; the node's own copy may be ahead of it."""
        if isinstance(publish, Publish):
            self.publisher.state = publish.state
        else:
            self.publisher.state.merge(publish.number, publish.items)
