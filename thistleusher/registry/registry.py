"""The registry's state machine: the lease of its singleton role, backends, proxies, the counter, subscribers.

`members` holds the state that proxies report, `counter` the tenants' counts and the proxies' shares. Subscribers are
the proxies and the other registries.

Guarantee: only the holder of the role calls the platform, publishes and counts. The lease is checked at the time of
each input, and again when a reply is sent (`can_answer`), so a process that was paused does not answer messages that
arrived during the pause. Published numbers start above those of every earlier holder, so a subscriber's number never
decreases. Registries without the role keep a copy of the list and continue from it when they acquire the role.

Inputs are ticks, messages from the control processes, from other registries and from subscribers, and the platform's
responses. Outputs are defined in `thistleusher.registry.outputs`. No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

import random
from typing import Any

from thistleusher.common.events import Event
from thistleusher.common.incarnations import counter_name, uptime_at
from thistleusher.common.quota_shares import SHARE_ITEM
from thistleusher.common.quota_timing import CONTACT_LEASE_S
from thistleusher.configuration.items import ConfigurationFollower
from thistleusher.control.leases import LeaseHolder
from thistleusher.registry.backend_poller import BackendPoller
from thistleusher.registry.charges import ChargeTable
from thistleusher.registry.members import JOINING, Members
from thistleusher.registry.outputs import (
    ConnectToCore,
    LogEvent,
    Output,
    SendToControl,
    SendToSubscriber,
)
from thistleusher.registry.platform_calls import PlatformCalls
from thistleusher.registry.published_list import BACKEND, MEMBER, PublishedList
from thistleusher.registry.quota_counter import QuotaCounter
from thistleusher.registry.subscriber_watch import SubscriberWatch
from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import (
    AdmissionReport,
    AdmissionReportAck,
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
from thistleusher.transport.state_updates import Subscriber

REGISTRAR_ROLE = "registrar"
PERSIST_INTERVAL_S = 1.0  # Interval between requests to persist shares.
LEADER_MACHINE_DELAY_S = 0.3  # Additional delay before the registry on the control leader's machine requests the lease.
LAG_CHECK_INTERVAL_S = 0.25  # Interval between checks for lagging subscribers.
DRAINING_PHASE = "draining"


class Registry:
    """The state machine of one registry."""

    def __init__(
        self,
        name: str,
        address: str,
        now: float,
        rng: random.Random,
        platform_rate_per_s: float,
        has_platform: bool,
        quota_window_s: float = 5.0,
        is_first_start: bool = True,
    ) -> None:
        """Create a registry without the role; `is_first_start`: no registry of this core has run before this start.

        `name` identifies the machine and this incarnation. `platform_rate_per_s` is the platform's rate limit, used
        only with `has_platform`. `quota_window_s` is the length of the span over which the quota rule is judged.
        """
        self.name = name
        self.address = address
        self.has_platform = has_platform
        self.quota_window_s = quota_window_s
        self.is_first_start = is_first_start
        self.started_at = now
        self.core = CoreMembers()
        self.lease = LeaseHolder(REGISTRAR_ROLE, name, now, rng)
        self.holds_role = False
        self.control_state = Subscriber(name)
        self.configuration = ConfigurationFollower()
        self.list = PublishedList(name)
        self.members = Members()
        self.counter: QuotaCounter | None = None  # Set only while this registry holds the role.
        self.counter_name = ""  # Name of the current counter, or of the last one.
        self.charges: ChargeTable | None = None
        self.platform_calls = PlatformCalls(now, platform_rate_per_s)
        self.next_persist_at = now
        self.subscriber_watch = SubscriberWatch()
        self.next_lag_check_at = now
        self._outputs: list[Output] = []

    @property
    def poller(self) -> BackendPoller:
        """Return the poller of the current term."""
        return self.platform_calls.poller

    # Inputs.

    def tick(self, now: float) -> list[Output]:
        """Run the actions that are due; must be called at least ten times a second."""
        self._update_role(now)
        if self.holds_role:
            self._run_role(now)
        return self._flush()

    def stop(self) -> list[Output]:
        """Release the role, as this process shuts down."""
        if self.holds_role:
            self.lease.release(self._send_to_control)
        self._end_role("this process shuts down")
        return self._flush()

    def receive_from_control(
        self, now: float, address: str, message: AnyMessage
    ) -> tuple[list[Output], AnyMessage | None]:
        """Process a message from the control process at `address`; return the outputs and the reply, if any.

        Raise UnexpectedMessageError for a message that a registry does not accept from a control process.
        """
        self._check_lease(now)
        reply: AnyMessage | None = None
        if isinstance(message, LeaseGranted | LeaseRejected):
            self.lease.receive(address, message)
            self._update_role(now)
        elif isinstance(message, CoreInfo):
            self._update_core(message)
        elif isinstance(message, StateUpdate):
            changed, reply = self.control_state.apply(message)
            if changed:
                self.configuration.update(self.control_state.state, changed)
                self._configure_counter()
        elif not isinstance(message, ItemsPersisted):  # Ignored: the control state itself shows what was persisted.
            raise UnexpectedMessageError(message)
        return self._flush(), reply

    def receive_from_peer(self, now: float, message: AnyMessage) -> tuple[list[Output], AnyMessage | None]:
        """Process an update from another registry; return the outputs and the reply, if any.

        The update is applied only without the role. Raise UnexpectedMessageError for any other message.
        """
        self._check_lease(now)
        if not isinstance(message, StateUpdate):
            raise UnexpectedMessageError(message)
        reply = None if self.holds_role else self.list.apply(message)
        return self._flush(), reply

    def receive_from_subscriber(self, now: float, name: str, message: AnyMessage) -> list[Output]:
        """Process a message from a subscriber: a proxy or another registry.

        Raise UnexpectedMessageError for a message that a registry does not accept from a subscriber.
        """
        self._check_lease(now)
        if isinstance(message, Charge):
            self._receive_charge(now, name, message)
        elif isinstance(message, ProxyHeartbeat | ProxyStatusReport):
            self._receive_heartbeat(now, name, message)
        elif isinstance(message, AdmissionReport):
            self._receive_admissions(now, name, message)
        elif isinstance(message, SubscribeRequest):
            self._subscribe(name, message.number)
        elif isinstance(message, StateUpdateAck):
            self.list.acknowledge(name, message.number)
        else:
            raise UnexpectedMessageError(message)
        return self._flush()

    def remove_subscriber(self, name: str) -> None:
        """Remove a subscriber whose connection has ended."""
        self.list.unsubscribe(name)

    def receive_platform_response(self, now: float, number: int, status: int, body: bytes) -> list[Output]:
        """Process the platform's response to a call; `status` is 0 if there was none.

        The response to an abandoned call is dropped.
        """
        self._check_lease(now)
        response_result = self.platform_calls.receive_response(now, number, status, body)
        if response_result is None:
            return []
        self._outputs += response_result.outputs
        if response_result.changes is not None and self.holds_role:
            self._publish_backends(response_result.changes)
        return self._flush()

    def can_answer(self, now: float) -> bool:
        """Return whether a reply may be sent now; first end the role if its lease has expired."""
        self._check_lease(now)
        return self.holds_role

    # Outputs.

    def _flush(self) -> list[Output]:
        outputs, self._outputs = self._outputs, []
        return outputs

    def _log(self, event: Event, *fields: object) -> None:
        self._outputs.append(LogEvent(event, fields))

    def _send_to_subscriber(self, name: str, message: AnyMessage) -> None:
        if name in self.list.subscribers:
            self._outputs.append(SendToSubscriber(name, message))

    def _send_to_control(self, address: str, message: Message) -> None:
        self._outputs.append(SendToControl(address, message))  # type: ignore[arg-type]

    # The singleton role.

    def _update_core(self, info: CoreInfo) -> None:
        if not self.core.update(info):
            return
        self.lease.set_grantors(info.voters)
        # If the leader's machine also held this role, its failure would end two roles at once.
        self.lease.attempt_delay_s = LEADER_MACHINE_DELAY_S if info.leader == self.address else 0.0
        self._outputs.append(ConnectToCore(info.voters))

    def _check_lease(self, now: float) -> None:
        """End the role if its lease has expired at the time of this input, without waiting for the next tick."""
        if self.holds_role and not self.lease.holds_lease(now):
            self._end_role("the lease has expired")

    def _update_role(self, now: float) -> None:
        """Request the lease when due; begin the role once the lease is held, end the role once it is not."""
        self.lease.tick(now, self._send_to_control)
        self._check_lease(now)
        if self.lease.holds_lease(now) and not self.holds_role and self.control_state.state.number > 0:
            self._begin_role(now)

    def _begin_role(self, now: float) -> None:
        self.holds_role = True
        self._log(Event.ROLE_ACQUIRED, self.lease.term)
        self.counter = QuotaCounter(now, self.quota_window_s)
        self.counter_name = counter_name(self.name, self.lease.term)
        self.charges = ChargeTable(self.counter)
        self._configure_counter()
        self.counter.shares.expect_reports(self.list.members())
        if not self.is_first_start and all(entry.get(JOINING) for entry in self.list.members().values()):
            # All lists were lost, not the leases. An earlier holder may have waited for their end, too.
            self.members.settled_from = self.started_at + CONTACT_LEASE_S
        self.members.begin_term()
        for proxy_name, entry in self.list.members().items():
            self.members.restore(now, proxy_name, entry)
        self.platform_calls.begin_term(now, self.list.backends())
        self.list.begin_term(self.lease.term)
        self.subscriber_watch = SubscriberWatch()

    def _end_role(self, reason: str) -> None:
        if self.holds_role:
            self.holds_role = False
            self.counter = None
            self.charges = None
            self._log(Event.ROLE_LOST, reason)

    def _run_role(self, now: float) -> None:
        """Run the holder's actions that are due: call the platform, request to persist shares, publish members."""
        assert self.counter is not None
        if self.has_platform:
            self._outputs += self.platform_calls.tick(now)
        if now >= self.next_persist_at:
            shares = self.counter.shares.new_shares(now)
            if shares:
                self.next_persist_at = now + PERSIST_INTERVAL_S
                items = {f"{SHARE_ITEM}{name}": share for name, share in shares.items()}
                self._send_to_control("", PersistItems(self.name, items))
        self._resend_to_lagging(now)
        self._publish_members(now)

    def _resend_to_lagging(self, now: float) -> None:
        """Log each lagging subscriber and resend the updates that it has not acknowledged."""
        if now < self.next_lag_check_at or not self._has_list():
            return
        self.next_lag_check_at = now + LAG_CHECK_INTERVAL_S
        number = self.list.state.number
        for lag in self.subscriber_watch.check(now, number, self.list.acknowledged()):
            self._log(Event.SUBSCRIBER_LAGS, lag.subscriber, lag.acknowledged, number, round(lag.stalled_s, 1))
            self.list.resend(lag.subscriber)

    # The list.

    def _has_list(self) -> bool:
        return self.poller.has_list or bool(self.list.backends())

    def _subscribe(self, name: str, number: int) -> None:
        self.list.subscribers.add(name)
        if not self.holds_role:
            return
        for subscriber, update in self.list.subscribe(name, number):
            if self._has_list():
                self._send_to_subscriber(subscriber, update)

    def _publish_backends(self, changes: dict[str, dict[str, Any] | None]) -> None:
        if changes:
            draining = sum(1 for backend in self.poller.backends.values() if backend["p"] != "ready")
            number = self.list.state.number + 1
            self._log(Event.BACKENDS_LISTED, number, len(self.poller.backends), draining)
            for name, backend in changes.items():
                if backend is not None and backend["p"] == DRAINING_PHASE:
                    self._log(Event.BACKEND_DRAINING, number, name)
        self._publish({f"{BACKEND}{name}": backend for name, backend in changes.items()})

    def _publish_members(self, now: float) -> None:
        old = self.list.members()
        new = self.members.entries(now)
        changes: dict[str, Any] = {f"{MEMBER}{name}": entry for name, entry in new.items() if old.get(name) != entry}
        changes.update({f"{MEMBER}{name}": None for name in old.keys() - new.keys()})
        self._publish(changes)
        self.members.end_joining(now, self.list.state.number, self.list.acknowledged())

    def _publish(self, changes: dict[str, Any]) -> None:
        """Apply changes to the list; send it to subscribers if the list of backends is known."""
        self.list.change(changes)
        if self._has_list():
            for name, update in self.list.updates_due():
                self._send_to_subscriber(name, update)

    # The counter.

    def _configure_counter(self) -> None:
        """Set the counter's limits and shares from the configuration and the control state."""
        if self.counter is None:
            return
        tenants = self.configuration.tenants
        limits = {name: (tenant.rate_per_s, tenant.burst) for name, tenant in tenants.items()}
        self.counter.configure(limits, self.control_state.state.values(SHARE_ITEM))

    def _receive_charge(self, now: float, name: str, charge: Charge) -> None:
        if self.charges is None:
            return
        result = self.charges.receive(now, name, charge)
        if result is not None:
            self._send_to_subscriber(name, result)

    def _receive_heartbeat(self, now: float, name: str, heartbeat: ProxyHeartbeat | ProxyStatusReport) -> None:
        if isinstance(heartbeat, ProxyStatusReport):
            silent = list(heartbeat.silent_peers)
            self.members.record_report(now, name, heartbeat.attributes, heartbeat.incarnation, heartbeat.ready, silent)
        else:
            self.members.record_heartbeat(now, name, heartbeat.incarnation)
        if self.counter is None:
            return
        echoed = heartbeat.echo[1] if heartbeat.echo is not None and heartbeat.echo[0] == self.counter_name else None
        uptime_without_echo = uptime_at(heartbeat.incarnation, heartbeat.sent) if heartbeat.echo is None else None
        if self.counter.shares.record_heartbeat(now, name, heartbeat.incarnation, echoed, uptime_without_echo):
            share = self.counter.shares.proxies[name].share
            self._send_to_subscriber(name, HeartbeatEcho(self.counter_name, heartbeat.sent, now, share))

    def _receive_admissions(self, now: float, name: str, report: AdmissionReport) -> None:
        if self.counter is None or report.counter != self.counter_name:
            return
        if self.counter.record_admissions(now, name, report.incarnation, report.covered_s, report.admitted):
            self._send_to_subscriber(name, AdmissionReportAck(report.counter))
