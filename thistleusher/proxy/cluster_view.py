"""What a proxy knows and whom it tells: control state, the registry's news, the ring, beats and charges to the counter.

Guaranteed: what is in force here never goes back within a life, whoever tells it; news are acted on before they are
acknowledged; without a configuration and a list this proxy is not ready; a charge is answered once and given back
once at most. What a watched proxy has lacked for a while is handed over to it.

Inputs are ticks and messages; outputs are messages to send and what has changed here, which is put into the decisions
before it is told. Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from thistleusher.common.events import Event
from thistleusher.common.quota_timing import LOCAL_QUOTA_FROM_S, OVER_LIMIT
from thistleusher.configuration.index import Index
from thistleusher.configuration.items import ConfigurationFollower
from thistleusher.proxy import decisions as decided
from thistleusher.proxy.decisions import Counted, Decisions
from thistleusher.proxy.placement import Place
from thistleusher.services.addresses import Address, read_address
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.heartbeat_ring import HeartbeatRing
from thistleusher.transport.messages import (
    AnyMessage,
    Charge,
    ChargeResult,
    CoreInfo,
    HandOver,
    HeartbeatEcho,
    ProxyHeartbeat,
    ProxyStatusReport,
    RingHeartbeat,
    StateUpdate,
    StateUpdateAck,
    SubscribeRequest,
)
from thistleusher.transport.state_updates import Subscriber

MOST_CHARGES = 20_000  # that are remembered; one that is forgotten gets no answer and is not given back
VERDICT_S = LOCAL_QUOTA_FROM_S  # after a charge was sent, from which its verdict is too old to be used


class ToRegistry(NamedTuple):
    """A message to the registry on a machine; to each, where `ip` is empty."""

    ip: str
    message: AnyMessage


class ToRing(NamedTuple):
    """A datagram to the ring's port of a machine."""

    ip: str
    message: RingHeartbeat


class ToPeer(NamedTuple):
    """A watched proxy is to be given a copy of the news."""

    name: str
    ip: str
    message: HandOver


class Core(NamedTuple):
    """Machines of the core, to be connected to."""

    addresses: tuple[str, ...]


class InForce(NamedTuple):
    """A configuration is in force from here on."""

    lookup: Index


class Backends(NamedTuple):
    """Backends that are new, moved (address and whether of this region) or gone (None)."""

    changes: dict[str, tuple[Address, bool] | None]


class Serving(NamedTuple):
    """Who may be sent to: asked again right before the first byte of each attempt."""

    names: set[str]


class Verdict(NamedTuple):
    """The counter's answer to a charge."""

    counted: Counted


class Note(NamedTuple):
    """An event for the log."""

    event: Event
    fields: tuple[object, ...]


Reply = StateUpdateAck | SubscribeRequest
Output = ToRegistry | ToRing | ToPeer | Core | InForce | Backends | Serving | Verdict | Note


class OpenCharge(NamedTuple):
    """A charge that has had no answer: of which request, and when it was sent."""

    request: str
    sent: float


class ClusterView:
    """One proxy's."""

    def __init__(
        self,
        me: str,
        incarnation: str,
        region: str,
        region_of: Callable[[str], str],
        attributes: dict[str, str],
        decisions: Decisions,
        now: float,
    ) -> None:
        """`attributes`: what others are told of this proxy: `front`, `ip`, `zone`, `region`."""
        self.me, self.incarnation, self.region, self.region_of, self.attributes = (
            me,
            incarnation,
            region,
            region_of,
            attributes,
        )
        self.decisions = decisions
        self.core = CoreMembers()
        self.control = Subscriber(me)
        self.configuration = ConfigurationFollower()
        self.list = Subscriber(me)
        self.ring = HeartbeatRing(me, now)
        self.known = False  # whether there is a list of backends
        self.serving: set[str] = set()
        self.counter = ""  # the machine whose registry has echoed last
        self.last_charge = 0
        self.unanswered: dict[int, OpenCharge] = {}  # by the charge's number
        self.charged: dict[str, int] = {}  # requests whose charge may still be given back, and its number
        self.out: list[Output] = []

    @property
    def index(self) -> Index | None:
        """The configuration in force."""
        return self.configuration.index

    def _flush(self) -> list[Output]:
        out, self.out = self.out, []
        return out

    # Whom it tells.

    def follow_control(self) -> SubscribeRequest:
        """The first message to a control process."""
        return self.control.subscribe_request()

    def follow_list(self) -> SubscribeRequest:
        """The first message to a registry."""
        return self.list.subscribe_request()

    def tick(self, now: float, ready: bool) -> list[Output]:
        """Beats to the counter and on the ring; `ready`: whether requests are served here."""
        beat, full = self.decisions.quota.beat(now)
        if beat:
            self._here(now, ready, full)
        due = self.ring.heartbeats_due(now)
        if due:
            members = self.list.state.values("m:")
            self.out += [ToRing(members[name]["ip"], self._ring_beat()) for name in due if name in members]
        return self._flush()

    def here(self, now: float, ready: bool) -> list[Output]:
        """Tell all registries at once: this proxy ends."""
        self._here(now, ready, True)
        return self._flush()

    def _here(self, now: float, ready: bool, full: bool) -> None:
        echo = self.decisions.quota.echo
        if full:
            silent = tuple(sorted(self.ring.silent(now)))
            self.out.append(
                ToRegistry("", ProxyStatusReport(self.incarnation, now, echo, ready, silent, self.attributes))
            )
        elif self.counter:
            self.out.append(ToRegistry(self.counter, ProxyHeartbeat(self.incarnation, now, echo)))

    # The ring.

    def _ring_beat(self) -> RingHeartbeat:
        """With the numbers of the news that this proxy has."""
        return RingHeartbeat(self.me, self.control.state.number, self.list.state.number)

    def beat(self, now: float, beat: RingHeartbeat, ip: str) -> list[Output]:
        """Another proxy's heartbeat."""
        self.ring.record_heartbeat(now, beat.sender)
        theirs, mine = (beat.control_number, beat.registry_number), (self.control.state.number, self.list.state.number)
        if 0 in mine and theirs > mine:
            # One that knows nothing does not know its watchers: it answers all.
            self.out.append(ToRing(ip, self._ring_beat()))
        if self.ring.needs_hand_over(now, beat.sender, theirs, mine):
            control, registry = self.control.state.update_since(theirs[0]), self.list.state.update_since(theirs[1])
            self.out.append(ToPeer(beat.sender, ip, HandOver(self.me, control, registry)))
        return self._flush()

    def handed(self, now: float, copy: HandOver) -> list[Output]:
        """A watcher's copy: news like any other, of which only what is newer counts."""
        self._control_news(now, copy.control)
        self._list_news(now, copy.registry)
        return self._flush()

    # The control state.

    def from_control(self, now: float, message: AnyMessage) -> tuple[list[Output], Reply | None]:
        """A control process's message: what follows, and the acknowledgement, of what is in force here only."""
        reply: Reply | None = None
        if isinstance(message, StateUpdate):
            reply = self._control_news(now, message)
        elif isinstance(message, CoreInfo):
            if self.core.update(message):
                self.out.append(Core(message.voters))
        else:
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def _control_news(self, now: float, news: StateUpdate) -> StateUpdateAck | SubscribeRequest:
        changed, reply = self.control.apply(news)
        if not changed:
            return reply
        if self.configuration.update(self.control.state, changed):
            self._configured(now)
        if any(name.startswith("evac:") for name in changed):
            evacuations = self.control.state.values("evac:")
            self.decisions.evacuated(now, {zone for zone, held in evacuations.items() if held["on"]})
            self._serve()
        return reply

    def _configured(self, now: float) -> None:
        index = self.configuration.index
        assert index is not None
        self.decisions.configured(now, index.config)
        self.out.append(InForce(index))
        self.out.append(Note(Event.CONFIGURATION_APPLIED, (index.config.version, len(index.config.routes))))

    # The registry.

    def from_registry(self, now: float, ip: str, message: AnyMessage) -> tuple[list[Output], Reply | None]:
        """An echo, a verdict, or news: what follows, and the acknowledgement."""
        reply: Reply | None = None
        if isinstance(message, ChargeResult):
            self._verdict(now, message)
        elif isinstance(message, HeartbeatEcho):
            if self.decisions.quota.echoed(now, message.registry, message.sent, message.registry_time, message.share):
                self.counter = ip
        elif isinstance(message, StateUpdate):
            reply = self._list_news(now, message)
        else:
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def charge(self, now: float, action: decided.Charge) -> list[Output]:
        """Charge a tenant's one count, or give a request's charge back."""
        if action.amount < 0:
            return self._give_back(action)
        self.last_charge += 1
        number = self.last_charge
        self.unanswered[number] = OpenCharge(action.request, now)
        self.charged[action.request] = number
        for remembered in (self.unanswered, self.charged):
            if len(remembered) > MOST_CHARGES:
                remembered.pop(next(iter(remembered)))  # type: ignore[call-overload]
        return self._to_counter(Charge(self.incarnation, number, action.tenant, action.amount, action.window))

    def _give_back(self, action: decided.Charge) -> list[Output]:
        """Once for each charge; its answer, if none has come yet, reaches nobody."""
        number = self.charged.pop(action.request, None)
        if number is None:
            return []
        self.unanswered.pop(number, None)
        return self._to_counter(Charge(self.incarnation, number, action.tenant, action.amount, action.window))

    def _to_counter(self, charge: Charge) -> list[Output]:
        return [ToRegistry(self.counter, charge)] if self.counter else []

    def _verdict(self, now: float, result: ChargeResult) -> None:
        """The answer to a charge of this life that waits for it. A late one may be of a window long over."""
        if result.incarnation != self.incarnation:
            return
        charge = self.unanswered.pop(result.number, None)
        if charge is None:
            return
        if now - charge.sent >= VERDICT_S:
            counted = Counted(charge.request, OVER_LIMIT, 0.0, result.window)
        else:
            counted = Counted(charge.request, result.verdict, result.seconds, result.window)
        self.out.append(Verdict(counted))

    def _list_news(self, now: float, news: StateUpdate) -> StateUpdateAck | SubscribeRequest:
        changed, reply = self.list.apply(news)
        if not changed:
            return reply
        if any(name.startswith("m:") for name in changed):
            members = self.list.state.values("m:")
            self.ring.set_members(now, members)
            self.decisions.ingresses = sorted(n for n, m in members.items() if m["up"])
        backends = {name[2:]: entry for name, entry in changed.items() if name.startswith("b:")}
        if backends:
            self._listed(now, backends)
        return reply

    def _listed(self, now: float, backends: dict[str, Any]) -> None:
        places = dict(self.decisions.places)
        moved: dict[str, tuple[Address, bool] | None] = {}
        for name, entry in backends.items():
            old = places.pop(name, None)
            if entry is None:
                moved[name] = None
                continue
            place = places[name] = Place(
                name,
                entry["s"],
                read_address(entry["a"]),
                entry["z"],
                self.region_of(entry["z"]),
                entry["c"],
                entry["p"] != "ready",
                now + entry["cold"] / 1000 if entry["cold"] > 0 else 0.0,
            )
            if old is None or old.address != place.address:
                moved[name] = place.address, place.region == self.region
        self.decisions.listed(now, places)
        self.known = True
        if moved:
            self.out.append(Backends(moved))
        self._serve()
        self.out.append(
            Note(Event.BACKENDS_APPLIED, (self.list.state.number, len(places), len(self.decisions.ingresses)))
        )

    def _serve(self) -> None:
        evacuated = self.decisions.ground.evacuated
        self.serving = {p.name for p in self.decisions.places.values() if not p.draining and p.zone not in evacuated}
        self.out.append(Serving(self.serving))
