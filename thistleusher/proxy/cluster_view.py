"""A proxy's view of the cluster: control state, registry list, heartbeat ring, and contact with the counter.

Guarantees: the state in force never goes back to an older one within an incarnation, whichever process sends it.
Updates are applied before they are acknowledged, and updates that a fault kept from being applied are requested again.
A charge is answered at most once and refunded at most once. A watched proxy that has been behind for a while gets a
copy of the missing updates. `proxy.program` determines whether this proxy is ready.

Inputs are ticks and messages; results are commands (`proxy.commands`). Changes are applied to the decision module
before the commands are returned. Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from thistleusher.common.events import Event
from thistleusher.common.quota_shares import SHARE_ITEM, share_interval
from thistleusher.configuration.index import Index
from thistleusher.configuration.items import ConfigurationFollower, number_of
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

EVACUATIONS = "evac:"  # prefix of the control state's items that hold evacuations, by zone
MEMBERS = "m:"  # prefix of the proxies in the registry's list
BACKENDS = "b:"  # prefix of the backends in the registry's list
JOINING = "joining"  # field of a proxy that not all others know yet
READY_PHASE = "ready"

Reply = StateUpdateAck | SubscribeRequest


class ClusterView:
    """Applies messages about the cluster to one proxy's state and returns the resulting commands."""

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
        """`region_of` maps a zone to its region; `attributes`: `front`, `ip`, `zone`, `region` of this proxy."""
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.region_of = region_of
        self.attributes = attributes
        self.decisions = decisions
        self.core = CoreMembers()
        self.control = Subscriber(name)
        self.configuration = ConfigurationFollower()
        self.unreadable_count = 0  # updates whose configuration this proxy could not read
        self.registry = Subscriber(name)
        self.ring = HeartbeatRing(name, now)
        self.has_backend_list = False  # whether a backend list has been applied
        self.serving: set[str] = set()
        self.counter = ""  # IP address of the registry that sent the newest echo; empty before the first one
        self.charges = OpenCharges(incarnation)
        self.reporter = AdmissionReporter(incarnation, decisions.admission.admitted)
        self.commands: list[Command] = []

    @property
    def index(self) -> Index | None:
        """The configuration in force, None before the first one."""
        return self.configuration.index

    def members(self) -> dict[str, dict[str, Any]]:
        """Return the proxies of the registry's list by name: `front`, `ip`, `zone`, `region`, `up`."""
        return self.registry.state.values(MEMBERS)

    def _take_commands(self) -> list[Command]:
        commands = self.commands
        self.commands = []
        return commands

    # Subscriptions and heartbeats.

    def subscribe_to_control(self) -> SubscribeRequest:
        """Return the subscription to send first on a connection to a control process."""
        return self.control.subscribe_request()

    def subscribe_to_registry(self) -> SubscribeRequest:
        """Return the subscription to send first on a connection to a registry."""
        return self.registry.subscribe_request()

    def tick(self, now: float, ready: bool) -> list[Command]:
        """Return the heartbeats and reports that are due; `ready`: whether this proxy can serve requests."""
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
        return self._take_commands()

    def _log_tallies(self, now: float) -> None:
        for tenant, tally, interval_s in self.decisions.admission.tally.reports_due(now):
            counts = (tally.by_counter, tally.by_share, tally.rejected)
            self.commands.append(LogEvent(Event.LIMIT_REACHED, (tenant, *counts, round(interval_s, 1))))

    def report_status(self, now: float, ready: bool) -> list[Command]:
        """Return this proxy's full heartbeat to all registries, regardless of when the last one was sent."""
        self._report_status(now, ready)
        return self._take_commands()

    def _report_status(self, now: float, ready: bool) -> None:
        silent = tuple(sorted(self.ring.silent(now)))
        echo = self.decisions.quota.echo
        report = ProxyStatusReport(self.incarnation, now, echo, ready, silent, self.attributes)
        self.commands.append(SendToRegistry("", report))

    # The heartbeat ring.

    def _ring_heartbeat(self) -> RingHeartbeat:
        """Return a heartbeat with the numbers of this proxy's copies of both states."""
        return RingHeartbeat(self.name, self.control.state.number, self.registry.state.number)

    def receive_heartbeat(self, now: float, heartbeat: RingHeartbeat, ip: str) -> list[Command]:
        """Record another proxy's heartbeat, and send it a copy of the updates that it has been missing for a while."""
        self.ring.record_heartbeat(now, heartbeat.sender)
        theirs = (heartbeat.control_number, heartbeat.registry_number)
        mine = (self.control.state.number, self.registry.state.number)
        if 0 in mine and theirs > mine:
            # A proxy without a list does not know its watchers. It answers every proxy with a newer state, so that
            # one of them sends a copy.
            self.commands.append(SendHeartbeat(ip, self._ring_heartbeat()))
        if self.ring.needs_state_transfer(now, heartbeat.sender, theirs, mine):
            control = self.control.state.update_since(theirs[0])
            registry = self.registry.state.update_since(theirs[1])
            self.commands.append(SendHandOver(heartbeat.sender, ip, HandOver(self.name, control, registry)))
        return self._take_commands()

    def receive_hand_over(self, now: float, copy: HandOver) -> list[Command]:
        """Apply a watcher's copy of both states, like any other updates: only newer items take effect."""
        self._control_update(now, copy.control)
        self._registry_update(now, copy.registry)
        return self._take_commands()

    # The control state.

    def receive_from_control(self, now: float, message: AnyMessage) -> tuple[list[Command], Reply | None]:
        """Handle a control process's message; return the commands and the acknowledgement to send afterwards.

        Raises UnexpectedMessageError for any message other than a StateUpdate or CoreInfo.
        """
        reply: Reply | None = None
        if isinstance(message, StateUpdate):
            reply = self._control_update(now, message)
        elif isinstance(message, CoreInfo):
            if self.core.update(message):
                self.commands.append(ConnectToCore(message.voters))
        else:
            raise UnexpectedMessageError(message)
        return self._take_commands(), reply

    def _control_update(self, now: float, update: StateUpdate) -> Reply:
        changed, reply = self.control.apply(update)
        if changed:
            with self._discarding_on_fault(self.control):
                is_readable = self._follow_configuration(now, changed)
                self._apply_control_changes(now, changed)
            if not is_readable:
                self.control.discard()
                if self.control.state.number == 0:  # discarded, at its first failure only
                    return self.control.subscribe_request()
        return reply

    def _follow_configuration(self, now: float, changed: dict[str, Any]) -> bool:
        """Apply the configuration among changed items; return False if it cannot be read.

        An unreadable one leaves the configuration in effect as it was. Shares and evacuations of the same update still
        apply.
        """
        try:
            is_newer = self.configuration.update(self.control.state, changed)
        except ValueError as error:
            self.unreadable_count += 1
            number = number_of(self.control.state)
            fields = (f"{number:08x}", f"{max(0, self.configuration.number):08x}", self.unreadable_count, error)
            self.commands.append(LogEvent(Event.CONFIGURATION_UNREADABLE, fields))
            return False
        if is_newer:
            self._apply_configuration(now)
        return True

    def _apply_control_changes(self, now: float, changed: dict[str, Any]) -> None:
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
        """Discard a copy of a state if an exception keeps its newest changes from being applied.

        Otherwise the copy's number would claim that these changes are in effect. The exception propagates to the
        link, which logs it and closes; the next subscription then requests the complete state.
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

    def receive_from_registry(self, now: float, ip: str, message: AnyMessage) -> tuple[list[Command], Reply | None]:
        """Handle a message of the registry at `ip`; return the commands and the acknowledgement to send afterwards.

        Raises UnexpectedMessageError for a message of a type that registries do not send to proxies.
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
        return self._take_commands(), reply

    def _echo_recorded(self, now: float, ip: str, counter: str) -> None:
        """Use the counter that sent the echo; a new one gets the admission report and the open charges."""
        self.counter = ip
        if counter == self.reporter.counter:
            return
        self.reporter.counter_changed(now, counter)
        self._report_admissions(now)
        for number, tenant in self.charges.renumber_unanswered(now):
            self.commands.append(SendToRegistry(ip, Charge(self.incarnation, number, tenant, 1, UNKNOWN_WINDOW)))

    def _report_admissions(self, now: float) -> None:
        report = self.reporter.due(now)
        if report is not None:
            self.commands.append(SendToRegistry(self.counter, report))

    def charge(self, now: float, action: ChargeTenant) -> list[Command]:
        """Charge a tenant's central count, or refund a request's charge; nothing is sent while no counter is known."""
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
        """Apply changed items of the list; on `is_reload` they are the complete list, so other backends are removed."""
        if any(name.startswith(MEMBERS) for name in changed):
            members = self.members()
            self.ring.set_members(now, members)
            own = members.get(self.name)
            self.decisions.apply_proxies(list(members), own is not None and not own.get(JOINING))
        backends = {name[len(BACKENDS) :]: item for name, item in changed.items() if name.startswith(BACKENDS)}
        if is_reload:
            gone = self.decisions.selector.listed.keys() - backends.keys()
            backends.update(dict.fromkeys(gone))
        if backends:
            self._update_backends(now, backends)

    def _update_backends(self, now: float, items: dict[str, Any]) -> None:
        """Apply changed backends of the list; an item of None removes the backend."""
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
        self.has_backend_list = True
        if changes:
            self.commands.append(UpdateBackends(changes))
        self._update_serving()
        sizes = (self.registry.state.number, len(listed), len(self.decisions.peers.names))
        self.commands.append(LogEvent(Event.BACKENDS_APPLIED, sizes))

    def _read_backend(self, now: float, name: str, item: dict[str, Any]) -> ListedBackend:
        """Return the backend that an item of the list describes; its keys are short, as it is sent to all proxies."""
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
