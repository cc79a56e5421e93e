"""The registry's state machine: the duty's lease, the list of backends, who is there, the counts, and who follows.

Guaranteed: only a holder of the duty reads the platform's list, publishes and counts. Whether it holds the duty is
asked on the clock of each input, and once more when an answer leaves (`may_tell`), so a process that stood still
answers nothing of what waited for it meanwhile. What it publishes begins above every number of an earlier holder, so
a follower never goes back; those off duty keep a copy of the news and go on from there.

Inputs are ticks, messages from the control processes, from other registries and from followers, and the platform's
answers; outputs are messages to send, the platform's calls and notes for the log. Pure; seconds on the steady clock.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from thistleusher.common.config_items import ConfigurationFollower
from thistleusher.common.events import Event
from thistleusher.control.leases import LeaseHolder
from thistleusher.registry.charges import ChargeTable
from thistleusher.registry.counts import QuotaCounter
from thistleusher.registry.instances import BackendPoller, Garbage
from thistleusher.registry.members import Members
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import (
    AnyMessage,
    Charge,
    CoreInfo,
    HeartbeatEcho,
    ItemsPersisted,
    LeaseGranted,
    LeaseRejected,
    Message,
    PersistItems,
    ProxyHeartbeat,
    ProxyStatusReport,
    StateUpdate,
    StateUpdateAck,
    SubscribeRequest,
)
from thistleusher.transport.state_updates import Publisher, Subscriber

REGISTRAR_ROLE = "registrar"
TERM_BITS = 24  # of a number, below the holder's term
KEEP_S = 1.0  # between requests that a share be kept
AWAY_S = 0.3  # by which the leader's machine asks for the duty later


class ToControl(NamedTuple):
    """A message to the control process on a machine; on each, where `address` is empty."""

    address: str
    message: AnyMessage


class Tell(NamedTuple):
    """A message to a follower, by its name."""

    name: str
    message: AnyMessage


class Call(NamedTuple):
    """A call to the platform; its answer is to be given to `answered`."""

    target: str


class Core(NamedTuple):
    """Machines of the core, to be connected to."""

    addresses: tuple[str, ...]


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Output = ToControl | Tell | Call | Core | Note


class Registry:
    """One registry."""

    def __init__(self, me: str, address: str, now: float, rng: random.Random, rate_per_s: float, polls: bool) -> None:
        """`me` names the machine and this life; `polls`: there is a platform, whose bound on calls is `rate_per_s`."""
        self.me, self.address, self.rate_per_s, self.polls = me, address, rate_per_s, polls
        self.core = CoreMembers()
        self.holder = LeaseHolder(REGISTRAR_ROLE, me, now, rng)
        self.control = Subscriber(me)  # of the control state
        self.configuration = ConfigurationFollower()
        self.list = Subscriber(me)  # of the registry that holds the duty, or its own
        self.publisher = Publisher(self.list.state)
        self.members = Members()
        self.counts: QuotaCounter | None = None
        self.charges: ChargeTable | None = None
        self.survey = BackendPoller(now, rate_per_s)
        self.asked: BackendPoller | None = None  # the reading whose call is out
        self.followers: set[str] = set()
        self.holds_role = False
        self.next_keep = now
        self.out: list[Output] = []

    # Inputs.

    def tick(self, now: float) -> list[Output]:
        """Time has passed; to be called ten times a second or more."""
        self._mind_duty(now)
        if self.holds_role:
            self._work(now)
        return self._flush()

    def stop(self) -> list[Output]:
        """This process ends in order: the duty is given back."""
        if self.holds_role:
            self.holder.release(self._to_control)
        self._end_duty("this process ends")
        return self._flush()

    def from_control(self, now: float, address: str, message: AnyMessage) -> tuple[list[Output], AnyMessage | None]:
        """A message from the control process on a machine: what follows, and the reply to it."""
        self._check_lease(now)
        reply: AnyMessage | None = None
        if isinstance(message, LeaseGranted | LeaseRejected):
            self.holder.receive(address, message)
            self._mind_duty(now)
        elif isinstance(message, CoreInfo):
            self._core(message)
        elif isinstance(message, StateUpdate):
            changed, reply = self.control.apply(message)
            if changed:
                self.configuration.update(self.control.state, changed)
                self._limits()
        elif not isinstance(message, ItemsPersisted):  # the state itself shows what is kept
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def from_peer(self, now: float, message: AnyMessage) -> tuple[list[Output], AnyMessage | None]:
        """A message from another registry: news, which one off duty keeps; the reply to it."""
        self._check_lease(now)
        if not isinstance(message, StateUpdate):
            raise UnexpectedMessageError(message)
        reply = None if self.holds_role else self.list.apply(message).reply
        return self._flush(), reply

    def from_follower(self, now: float, name: str, message: AnyMessage) -> list[Output]:
        """A message from a proxy or registry that follows."""
        self._check_lease(now)
        if isinstance(message, Charge):
            self._charge(now, name, message)
        elif isinstance(message, ProxyHeartbeat | ProxyStatusReport):
            self._here(now, name, message)
        elif isinstance(message, SubscribeRequest):
            self._follow(name, message.number)
        elif isinstance(message, StateUpdateAck):
            self.publisher.acknowledge(name, message.number)
        else:
            raise UnexpectedMessageError(message)
        return self._flush()

    def gone(self, name: str) -> None:
        """A follower's connection has ended."""
        self.followers.discard(name)
        self.publisher.unsubscribe(name)

    def answered(self, now: float, status: int, body: bytes) -> list[Output]:
        """The platform's answer to the call; `status` 0: none came."""
        self._check_lease(now)
        asked, self.asked = self.asked, None
        if asked is not self.survey:
            return []  # of a reading that ended with an earlier duty: a page of it is no whole list
        if status != 200:
            self._note(Event.PLATFORM_FAILED, status or "no answer")
            self.survey.failed(now, status)
            return self._flush()
        try:
            changes = self.survey.page(now, body)
        except Garbage as error:
            self._note(Event.PLATFORM_FAILED, error)
            return self._flush()
        if changes is not None and self.holds_role:
            self._listed(changes)
        return self._flush()

    def may_tell(self, now: float) -> bool:
        """Whether an answer may leave now; where it may not, the duty is over."""
        self._check_lease(now)
        return self.holds_role

    # Helpers.

    def _flush(self) -> list[Output]:
        out, self.out = self.out, []
        return out

    def _note(self, event: Event, *fields: object) -> None:
        self.out.append(Note(event, fields))

    def _tell(self, name: str, message: AnyMessage) -> None:
        if name in self.followers:
            self.out.append(Tell(name, message))

    def _to_control(self, address: str, message: Message) -> None:
        self.out.append(ToControl(address, message))  # type: ignore[arg-type]

    def _has_list(self) -> bool:
        return self.survey.read or bool(self.list.state.values("b:"))

    # The duty.

    def _core(self, info: CoreInfo) -> None:
        if not self.core.update(info):
            return
        self.holder.set_grantors(info.voters)
        # The leader's machine has another role to lose at the same time.
        self.holder.attempt_delay_s = AWAY_S if info.leader == self.address else 0.0
        self.out.append(Core(info.voters))

    def _check_lease(self, now: float) -> None:
        """End the duty if its lease is over on the clock of this input, whatever the last tick knew."""
        if self.holds_role and not self.holder.holds_lease(now):
            self._end_duty("the lease has ended")

    def _mind_duty(self, now: float) -> None:
        """Ask for the duty when it is time; begin it as soon as it is held, end it as soon as it is not."""
        self.holder.tick(now, self._to_control)
        self._check_lease(now)
        if self.holder.holds_lease(now) and not self.holds_role and self.control.state.number > 0:
            self._begin_duty(now)

    def _begin_duty(self, now: float) -> None:
        self.holds_role = True
        self._note(Event.ROLE_ACQUIRED, self.holder.term)
        self.counts = QuotaCounter(now)
        self.charges = ChargeTable(self.counts)
        self._limits()
        for node, attributes in self.list.state.values("m:").items():
            self.members.known(now, node, attributes)
        self.survey = BackendPoller(now, self.rate_per_s)
        known = self.list.state.values("b:")
        self.survey.entries = {name: {**entry, "cold": 0.0} for name, entry in known.items()}
        self.survey.cold_until = {name: now for name, entry in known.items() if entry["cold"] > 0}
        state = self.list.state
        state.number = state.floor = max(state.number, self.holder.term << TERM_BITS)
        self.publisher = Publisher(state)
        for name in sorted(self.followers):
            # The number that it has is not known, so it gets the complete state.
            self.publisher.sent[name] = -1
            self.publisher.acknowledged[name] = -1

    def _end_duty(self, why: str) -> None:
        if self.holds_role:
            self.holds_role, self.counts, self.charges = False, None, None
            self._note(Event.ROLE_LOST, why)

    def _work(self, now: float) -> None:
        assert self.counts is not None
        if self.polls and self.asked is None and (target := self.survey.due(now)) is not None:
            self.asked = self.survey
            self.out.append(Call(target))
        if now >= self.next_keep and (wanted := self.counts.wanted(now)):
            self.next_keep = now + KEEP_S
            self._to_control("", PersistItems(self.me, {f"share:{name}": share for name, share in wanted.items()}))
        old, new = self.list.state.values("m:"), self.members.listed(now)
        changed: dict[str, Any] = {
            f"m:{name}": attributes for name, attributes in new.items() if old.get(name) != attributes
        }
        changed.update({f"m:{name}": None for name in old.keys() - new.keys()})
        self._publish(changed)

    # The news.

    def _follow(self, name: str, number: int) -> None:
        self.followers.add(name)
        if not self.holds_role:
            return
        for follower, news in self.publisher.subscribe(name, number):
            if self._has_list():
                self._tell(follower, news)

    def _listed(self, changes: dict[str, dict[str, Any] | None]) -> None:
        if changes:
            draining = sum(1 for entry in self.survey.entries.values() if entry["p"] != "ready")
            self._note(Event.BACKENDS_LISTED, self.list.state.number + 1, len(self.survey.entries), draining)
        self._publish({f"b:{name}": entry for name, entry in changes.items()})

    def _publish(self, changes: dict[str, Any]) -> None:
        """Tell followers, once there is a list to tell of."""
        state = self.list.state
        if changes:
            state.apply(state.number + 1, changes)
        if self._has_list():
            for name, news in self.publisher.updates_due():
                self._tell(name, news)

    # The counter.

    def _limits(self) -> None:
        """Tenants' limits and kept shares, for the counts."""
        if self.counts is None:
            return
        tenants = self.configuration.tenants
        limits = {name: (tenant.rate_per_s, tenant.burst) for name, tenant in tenants.items()}
        self.counts.follow(limits, self.control.state.values("share:"))

    def _charge(self, now: float, name: str, charge: Charge) -> None:
        if self.charges is None:
            return
        result = self.charges.take(now, name, charge)
        if result is not None:
            self._tell(name, result)

    def _here(self, now: float, name: str, beat: ProxyHeartbeat | ProxyStatusReport) -> None:
        if isinstance(beat, ProxyStatusReport):
            self.members.here(now, name, beat.attributes, beat.incarnation, beat.ready, list(beat.silent_peers))
        else:
            self.members.beat(now, name, beat.incarnation)
        if self.counts is None:
            return
        echoed = beat.echo[1] if beat.echo is not None and beat.echo[0] == self.me else None
        if self.counts.here(now, name, beat.incarnation, echoed):
            self._tell(name, HeartbeatEcho(self.me, beat.sent, now, self.counts.ingresses[name].share))
