"""All that one control process decides: the control node, grants of leases, and who follows the news.

`ControlNode` keeps the state. Around it stand the grants of duties' leases, which each voter in contact with a majority
gives, and the news, which only a leader tells whose lease stands on the clock of that very input. Inputs and outputs
are those of the node, and messages from and to whoever is connected. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from thistleusher.common.errors import ServiceError
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

NO_EPOCH = -1


class ControlService:
    """One process's."""

    def __init__(self, node: ControlNode, grantor: LeaseGrantor) -> None:
        self.node, self.grantor = node, grantor
        self.calls = 0
        self.followers: set[str] = set()
        self.publisher = Publisher(State())  # of what is in force, which the node's own copy may be ahead of
        self._granting: dict[int, SendToClient] = {}  # answers that wait for a write, by its token
        self._tokens = itertools.count(-1, -1)  # below 0: the node's are above
        self._keeping: dict[int, SendToClient] = {}  # answers to wishes that something be kept, by their call
        self._held = False  # whether the lease stood at the last input
        self._told_epoch = NO_EPOCH  # of the view that followers know
        self._voted = node.founding or node.is_voter

    # Inputs.

    def tick(self, now: float) -> list[ServiceOutput]:
        """Time has passed."""
        return [*self._carry(now, self.node.tick(now)), *self._tell_core(now)]

    def connected(self, now: float, other: str) -> list[ServiceOutput]:
        """A connection to a machine of the core stands anew."""
        return self._carry(now, self.node.connected(now, other))

    def write_completed(self, now: float, token: int, ok: bool) -> list[ServiceOutput]:
        """A write has ended."""
        if token >= 0:
            return self._carry(now, self.node.write_completed(now, token, ok))
        answer = self._granting.pop(token, None)
        return [answer] if ok and answer is not None and self.node.in_contact(now) else []

    def submit(self, now: float, make: Callable[[int], Call]) -> tuple[int, list[ServiceOutput]]:
        """A call from outside; its number, by which its `Answer` names it."""
        self.calls += 1
        return self.calls, self._carry(now, self.node.submit(now, make(self.calls)))

    def stop(self, now: float) -> list[ServiceOutput]:
        """This process is to end in order, once `node.can_stop` says so."""
        return self._carry(now, self.node.stop(now))

    def receive(self, now: float, name: str, message: AnyMessage) -> list[ServiceOutput]:
        """A message from a machine of the core or from one that follows."""
        if isinstance(message, LeaseRequest):
            return self._grant(now, name, message)
        if isinstance(message, LeaseReleased):
            self.grantor.release(message)
        elif isinstance(message, SubscribeRequest):
            return self._follow(now, name, message.number)
        elif isinstance(message, StateUpdateAck):
            self.publisher.acknowledge(name, message.number)
        elif isinstance(message, PersistItems):
            return self._keep(now, name, message)
        elif name:
            return self._carry(now, self.node.receive(now, name, message))
        return []

    def takes(self, message: AnyMessage) -> bool:
        """Whether a message is one for this process."""
        own = (LeaseRequest, LeaseReleased, SubscribeRequest, StateUpdateAck, PersistItems)
        return isinstance(message, own) or self.node.takes(message)

    def disconnected(self, name: str) -> None:
        """A follower's connection has ended."""
        self.followers.discard(name)
        self.publisher.unsubscribe(name)

    # Leases.

    def _grant(self, now: float, name: str, request: LeaseRequest) -> list[ServiceOutput]:
        """A voter in contact grants; any other machine of the core says nothing."""
        self._mind_vote(now)
        view = self.node.view
        if view is None or not self.node.in_contact(now):
            return []
        answer, changed = self.grantor.decide(now, request, view.epoch)
        if not changed:
            return [SendToClient(name, answer)]
        token = next(self._tokens)
        self._granting[token] = SendToClient(name, answer)
        return [Write(token, Records(leases=self.grantor.to_records()))]

    def _mind_vote(self, now: float) -> None:
        """One that has just got a vote does not grant at once."""
        votes = self.node.founding or self.node.is_voter
        if votes and not self._voted:
            self.grantor.pause(now)
        self._voted = votes

    # Followers.

    def _follow(self, now: float, name: str, number: int) -> list[ServiceOutput]:
        self.followers.add(name)
        if self.node.holds_lease(now):
            return [SendToClient(name, self._core()), *self._news(self.publisher.subscribe(name, number))]
        self.publisher.unsubscribe(name)
        self.publisher.sent[name] = self.publisher.acknowledged[name] = number
        return [SendToClient(name, self._core())]

    def _keep(self, now: float, name: str, message: PersistItems) -> list[ServiceOutput]:
        items = message.items
        self._keeping[self.calls + 1] = SendToClient(name, ItemsPersisted(message.request_id, True))

        def kept(state: State) -> bool:
            return all(state.value(item) == value for item, value in items.items())

        return self.submit(now, lambda call: Change(call, kept, lambda state: items, "the registry's items"))[1]

    def _core(self) -> CoreInfo:
        view = self.node.view
        if view is None:
            return CoreInfo((), 0, "")
        return CoreInfo(tuple(sorted(view.voters)), view.epoch, view.leader)

    def _tell_core(self, now: float) -> list[ServiceOutput]:
        """Followers are told of a new view, and by a leader that begins."""
        self._mind_vote(now)
        view, holds = self.node.view, self.node.holds_lease(now)
        begun = holds and not self._held
        self._held = holds
        if not begun and (view is None or view.epoch == self._told_epoch):
            return []
        self._told_epoch = view.epoch if view is not None else NO_EPOCH
        told: list[ServiceOutput] = [SendToClient(name, self._core()) for name in sorted(self.followers)]
        if begun:  # what came into force before the lease stood
            told += self._news(self.publisher.updates_due())
        return told

    def _news(self, messages: Iterable[tuple[str, StateUpdate]]) -> list[ServiceOutput]:
        return [SendToClient(name, message) for name, message in messages if name in self.followers]

    # Outputs.

    def _carry(self, now: float, outputs: Iterable[Output]) -> list[ServiceOutput]:
        out: list[ServiceOutput] = []
        for each in outputs:
            if isinstance(each, Publish | PublishChange):
                self._publish(each)
                out += self._tell_core(now)
                if self.node.holds_lease(now):
                    out += self._news(self.publisher.updates_due())
            elif isinstance(each, Answer) and each.call_id in self._keeping:
                tell = self._keeping.pop(each.call_id)
                kept = not isinstance(each.answer, ServiceError)
                out.append(SendToClient(tell.name, ItemsPersisted(_request_of(tell), kept)))
            else:
                out.append(each)
        return out

    def _publish(self, publish: Publish | PublishChange) -> None:
        """Keep what is in force, which the node's own copy may be ahead of."""
        if isinstance(publish, Publish):
            self.publisher.state = publish.state
        else:
            self.publisher.state.merge(publish.number, publish.items)


def _request_of(tell: SendToClient) -> str:
    assert isinstance(tell.message, ItemsPersisted)
    return tell.message.request_id
