"""What a proxy knows of the cluster: control state, registry list, heartbeat ring, and its contact with the counter.

Guarantees: what is in force here never goes back within an incarnation, whoever sends it; updates are acted on before
they are acknowledged, and those that a fault has kept out of force are asked for again; a charge is answered once and
refunded once at most. A watched proxy that has lacked updates for a while is handed them. `proxy.program` judges
whether this proxy is ready.

Inputs are ticks and messages; results are commands (`proxy.commands`). Changes are put into the decision module before
they are returned. Pure; seconds on the steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from thistleusher.common.events import Event
from thistleusher.common.quota_shares import SHARE_ITEM, share_interval
from thistleusher.configuration.index import Index
from thistleusher.configuration.items import ConfigurationFollower
from thistleusher.proxy.admitted_requests import AdmissionReporter
from thistleusher.proxy.commands import (
    ApplyConfiguration,
    BackendAddress,
    Command,
    ConnectToCore,
    DeliverChargeAnswer,
    LogEvent,
    SendHandOver,
    SendHeartbeat,
    SendToRegistry,
    SetServing,
    UpdateBackends,
)
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.open_charges import OpenCharges
from thistleusher.proxy.placement import ListedBackend
from thistleusher.proxy.quota import Echo, HeartbeatScope
from thistleusher.proxy.requests import UNKNOWN_WINDOW, ChargeTenant
from thistleusher.services.addresses import read_address
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.heartbeat_ring import HeartbeatRing
from thistleusher.transport.messages import (
    AdmissionReportAck,
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

EVACUATIONS = "evac:"  # prefixes of items of the control state
MEMBERS = "m:"  # and of the registry's list
BACKENDS = "b:"
READY_PHASE = "ready"

Reply = StateUpdateAck | SubscribeRequest


class ClusterView:
    """The cluster as one proxy sees it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        region: str,
        region_of: Callable[[str], str],
        attributes: dict[str, str],
        decisions: Decisions,
        now: float,
    ) -> None:
        """`region_of`: the region of a zone; `attributes`: `front`, `ip`, `zone`, `region` for the registry's list."""
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.region_of = region_of
        self.attributes = attributes
        self.decisions = decisions
        self.core = CoreMembers()
        self.control = Subscriber(name)
        self.configuration = ConfigurationFollower()
        self.registry = Subscriber(name)
        self.ring = HeartbeatRing(name, now)
        self.has_list = False  # of backends
        self.serving: set[str] = set()
        self.counter = ""  # the machine whose registry has echoed last
        self.charges = OpenCharges(incarnation)
        self.reporter = AdmissionReporter(incarnation, decisions.admission.admitted)
        self.commands: list[Command] = []

    @property
    def index(self) -> Index | None:
        """The configuration in force."""
        return self.configuration.index

    def members(self) -> dict[str, dict[str, Any]]:
        """Return the proxies of the registry's list by name: `front`, `ip`, `zone`, `region`, `up`."""
        return self.registry.state.values(MEMBERS)

    def _flush(self) -> list[Command]:
        commands = self.commands
        self.commands = []
        return commands

    # Messages that this proxy begins with, and heartbeats.

    def subscribe_to_control(self) -> SubscribeRequest:
        """Return the first message to a control process."""
        return self.control.subscribe_request()

    def subscribe_to_registry(self) -> SubscribeRequest:
        """Return the first message to a registry."""
        return self.registry.subscribe_request()

    def tick(self, now: float, ready: bool) -> list[Command]:
        """Send the heartbeats that are due, to the counter and on the ring; `ready`: whether requests are served."""
        scope = self.decisions.quota.heartbeat_due(now)
        if scope is HeartbeatScope.ALL_REGISTRIES:
            self._report_status(now, ready)
        elif scope is HeartbeatScope.COUNTER and self.counter:
            heartbeat = ProxyHeartbeat(self.incarnation, now, self.decisions.quota.echo)
            self.commands.append(SendToRegistry(self.counter, heartbeat))
        self._report_admissions(now)
        due = self.ring.heartbeats_due(now)
        if due:
            members = self.members()
            heartbeat_out = self._ring_heartbeat()
            self.commands += [SendHeartbeat(members[peer]["ip"], heartbeat_out) for peer in due if peer in members]
        self._log_tallies(now)
        return self._flush()

    def _log_tallies(self, now: float) -> None:
        for tenant, tally, for_s in self.decisions.admission.tally.reports_due(now):
            counts = (tally.counted, tally.by_share, tally.rejected)
            self.commands.append(LogEvent(Event.LIMIT_REACHED, (tenant, *counts, round(for_s, 1))))

    def report_status(self, now: float, ready: bool) -> list[Command]:
        """Send this proxy's full heartbeat to all registries now, as when it shuts down."""
        self._report_status(now, ready)
        return self._flush()

    def _report_status(self, now: float, ready: bool) -> None:
        silent = tuple(sorted(self.ring.silent(now)))
        echo = self.decisions.quota.echo
        report = ProxyStatusReport(self.incarnation, now, echo, ready, silent, self.attributes)
        self.commands.append(SendToRegistry("", report))

    # The heartbeat ring.

    def _ring_heartbeat(self) -> RingHeartbeat:
        """Return a heartbeat with the numbers of the states that this proxy has."""
        return RingHeartbeat(self.name, self.control.state.number, self.registry.state.number)

    def heartbeat_received(self, now: float, heartbeat: RingHeartbeat, ip: str) -> list[Command]:
        """Take in another proxy's heartbeat; hand over what it has lacked for a while."""
        self.ring.record_heartbeat(now, heartbeat.sender)
        theirs = (heartbeat.control_number, heartbeat.registry_number)
        mine = (self.control.state.number, self.registry.state.number)
        if 0 in mine and theirs > mine:
            # Without a list a proxy does not know its watchers: it answers all who know more, so that one hands over.
            self.commands.append(SendHeartbeat(ip, self._ring_heartbeat()))
        if self.ring.needs_state_transfer(now, heartbeat.sender, theirs, mine):
            control = self.control.state.update_since(theirs[0])
            registry = self.registry.state.update_since(theirs[1])
            self.commands.append(SendHandOver(heartbeat.sender, ip, HandOver(self.name, control, registry)))
        return self._flush()

    def handed_over(self, now: float, copy: HandOver) -> list[Command]:
        """Take in a watcher's copy: updates like any others, of which only what is newer counts."""
        self._control_update(now, copy.control)
        self._registry_update(now, copy.registry)
        return self._flush()

    # The control state.

    def from_control(self, now: float, message: AnyMessage) -> tuple[list[Command], Reply | None]:
        """Take in a control process's message; return the commands and the acknowledgement to send after them.

        Raises UnexpectedMessageError for any other than a StateUpdate or CoreInfo.
        """
        reply: Reply | None = None
        if isinstance(message, StateUpdate):
            reply = self._control_update(now, message)
        elif isinstance(message, CoreInfo):
            if self.core.update(message):
                self.commands.append(ConnectToCore(message.voters))
        else:
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def _control_update(self, now: float, update: StateUpdate) -> Reply:
        changed, reply = self.control.apply(update)
        if changed:
            with self._discarding_on_fault(self.control):
                self._apply_control_changes(now, changed)
        return reply

    def _apply_control_changes(self, now: float, changed: dict[str, Any]) -> None:
        if self.configuration.update(self.control.state, changed):
            self._apply_configuration(now)
        if any(name.startswith(SHARE_ITEM) for name in changed):
            shares = self.control.state.values(SHARE_ITEM)
            self.decisions.quota.interval = share_interval(shares, self.name)
        if any(name.startswith(EVACUATIONS) for name in changed):
            evacuations = self.control.state.values(EVACUATIONS)
            zones = {zone for zone, evacuation in evacuations.items() if evacuation["on"]}
            self.decisions.apply_evacuations(now, zones)
            self._update_serving()

    @contextmanager
    def _discarding_on_fault(self, copy: Subscriber) -> Iterator[None]:
        """Discard a copy whose newest changes a fault keeps out of force: its number would claim that they are in.

        The fault goes on to the link, which logs it and ends; a new subscription then asks for everything.
        """
        try:
            yield
        except Exception:
            copy.discard()
            raise

    def _apply_configuration(self, now: float) -> None:
        index = self.configuration.index
        assert index is not None
        self.decisions.apply_configuration(now, index.config)
        self.commands.append(ApplyConfiguration(index))
        self.commands.append(LogEvent(Event.CONFIGURATION_APPLIED, (index.config.version, len(index.config.routes))))

    # The registry.

    def from_registry(self, now: float, ip: str, message: AnyMessage) -> tuple[list[Command], Reply | None]:
        """Take in a message of the registry at `ip`; return the commands and the acknowledgement to send after them.

        Raises UnexpectedMessageError for any that no registry sends here.
        """
        reply: Reply | None = None
        if isinstance(message, ChargeResult):
            answer = self.charges.answered(now, message)
            if answer is not None:
                self.commands.append(DeliverChargeAnswer(answer))
        elif isinstance(message, HeartbeatEcho):
            echo = Echo(message.counter_name, message.registry_time)
            if self.decisions.quota.record_echo(now, echo, message.sent, message.share):
                self._echo_recorded(now, ip, echo.counter)
        elif isinstance(message, AdmissionReportAck):
            self.reporter.acknowledged(message.counter)
        elif isinstance(message, StateUpdate):
            reply = self._registry_update(now, message)
        else:
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def _echo_recorded(self, now: float, ip: str, counter: str) -> None:
        """Go by the counter that has echoed; a new one is told what was admitted so far, and gets the open charges."""
        self.counter = ip
        if counter == self.reporter.counter:
            return
        self.reporter.counter_changed(now, counter)
        self._report_admissions(now)
        for number, tenant in self.charges.open_anew(now):
            self.commands.append(SendToRegistry(ip, Charge(self.incarnation, number, tenant, 1, UNKNOWN_WINDOW)))

    def _report_admissions(self, now: float) -> None:
        report = self.reporter.due(now)
        if report is not None:
            self.commands.append(SendToRegistry(self.counter, report))

    def charge(self, now: float, action: ChargeTenant) -> list[Command]:
        """Charge a tenant's central count, or refund a request's charge; sent to nobody while there is no counter."""
        if action.amount < 0:
            number = self.charges.refund(action.request)
            if number is None:
                return []
        else:
            number = self.charges.open(now, action.request, action.tenant)
        if not self.counter:
            return []
        charge = Charge(self.incarnation, number, action.tenant, action.amount, action.window)
        return [SendToRegistry(self.counter, charge)]

    def _registry_update(self, now: float, update: StateUpdate) -> Reply:
        is_reload = self.registry.state.number == 0
        changed, reply = self.registry.apply(update)
        if changed:
            with self._discarding_on_fault(self.registry):
                self._apply_list_changes(now, changed, is_reload)
        return reply

    def _apply_list_changes(self, now: float, changed: dict[str, Any], is_reload: bool) -> None:
        """Put changed items of the list in force; `is_reload`: they are the whole list, what it lacks is gone."""
        if any(name.startswith(MEMBERS) for name in changed):
            members = self.members()
            self.ring.set_members(now, members)
            self.decisions.apply_ingresses(sorted(name for name, member in members.items() if member["up"]))
        backends = {name[len(BACKENDS) :]: item for name, item in changed.items() if name.startswith(BACKENDS)}
        if is_reload:
            gone = self.decisions.selector.listed.keys() - backends.keys()
            backends.update(dict.fromkeys(gone))
        if backends:
            self._update_backends(now, backends)

    def _update_backends(self, now: float, items: dict[str, Any]) -> None:
        """Take in changed items of the list; None: the backend is gone."""
        listed = dict(self.decisions.selector.listed)
        changes: dict[str, BackendAddress | None] = {}
        for name, item in items.items():
            old = listed.pop(name, None)
            if item is None:
                changes[name] = None
                continue
            new = listed[name] = self._read_backend(now, name, item)
            if new.draining and (old is None or not old.draining):
                self.commands.append(LogEvent(Event.DRAINING_APPLIED, (self.registry.state.number, name)))
            if old is None or old.address != new.address:
                changes[name] = BackendAddress(new.address, new.region == self.region)
        self.decisions.apply_backends(now, listed)
        self.has_list = True
        if changes:
            self.commands.append(UpdateBackends(changes))
        self._update_serving()
        sizes = (self.registry.state.number, len(listed), len(self.decisions.selector.ingresses))
        self.commands.append(LogEvent(Event.BACKENDS_APPLIED, sizes))

    def _read_backend(self, now: float, name: str, item: dict[str, Any]) -> ListedBackend:
        """Return an item of the list, whose keys are short as it is sent to all proxies."""
        return ListedBackend(
            name,
            service=item["s"],
            address=read_address(item["a"]),
            zone=item["z"],
            region=self.region_of(item["z"]),
            slots=item["c"],
            draining=item["p"] != READY_PHASE,
            warming_until=now + item["cold"] / 1000 if item["cold"] > 0 else 0.0,
        )

    def _update_serving(self) -> None:
        selector = self.decisions.selector
        evacuated = selector.locality.evacuated_zones
        self.serving = {
            backend.name
            for backend in selector.listed.values()
            if not backend.draining and backend.zone not in evacuated
        }
        self.commands.append(SetServing(self.serving))
