"""The required rules of the system that can be checked in the simulation, as events happen.

TWICE: a request that is not idempotent runs at most once.
REFUSED: a request that is not idempotent never runs if it was rejected.
QUOTA: the runs of the tenant with a limit stay within its quota, over every span of `quota_window_s`.
DRAIN: a backend gets no requests after its time to drain.
EVAC: the backends of an evacuated zone get no requests.
CONFIG: no proxy returns to an older configuration, and all have an acknowledged one in time.
LOST: each request gets exactly one answer, in time.
GONE: no request is sent or worked on after its client has disconnected.

The time bounds of DRAIN, EVAC and CONFIG apply once there has been no fault for `FAULT_FREE_S`, as required. The time
bound of GONE applies if the proxy has run without interruption since the client disconnected.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from simnet.clock import Clock
from simnet.system.backends import Backend, Work
from simnet.system.process import Process
from simnet.system.topology import BOUNDS, BURST, DEADLINE_S, EFFECTFUL_ROUTE, LIMITED_TENANT, RATE_PER_S
from thistleusher.core.ports import Final, Verdict

FAULT_FREE_S = 5.0  # time without a fault after which time bounds apply
# After a client has disconnected: time until no backend may get its request or, if that is idempotent, work on it.
CANCELLATION_S = 0.5
ANSWER_MARGIN_S = 0.1  # an answer counts as missing this long after the request's deadline
REJECTIONS = (Verdict.OVER_QUOTA, Verdict.NO_ROOM)  # verdicts that state that a request has not run


class OpenRequest(NamedTuple):
    """A request that has no answer yet, in one incarnation of a proxy."""

    proxy: Process
    incarnation: int
    deadline: float


class LeftRequest(NamedTuple):
    """A request whose client has disconnected; the incarnation of the proxy was notified of it at `at`."""

    proxy: Process
    incarnation: int
    at: float


class Acknowledgement(NamedTuple):
    """The newest configuration version that was acknowledged to the operator, and when."""

    version: int
    at: float


class Evacuation(NamedTuple):
    """Whether a zone is evacuated, and when that was acknowledged."""

    on: bool
    at: float


class Rules:
    """The events that the rules depend on, and the first violation of a rule."""

    def __init__(self, clock: Clock) -> None:
        self.violation = ""
        self.fault_until = 0.0
        self.acknowledged = Acknowledgement(-1, 0.0)
        self.evacuations: dict[str, Evacuation] = {}  # zone -> its last acknowledged evacuation
        self.runs: dict[str, list[str]] = {}  # request -> backends on which it ran
        self.served_count = 0
        self.answered_count = 0
        self.left_count = 0  # number of requests whose clients have disconnected
        self._clock = clock
        self._open: dict[str, OpenRequest] = {}
        self._rejected: set[str] = set()
        self._left: dict[str, LeftRequest] = {}
        self._work: dict[str, list[Work]] = {}  # request -> the work that backends have begun on it
        self._limited_runs: deque[float] = deque()  # times of the limited tenant's runs, in the last `quota_window_s`

    def report(self, message: str) -> None:
        """Record the first violation of a rule.

        The world raises the error after the step, since the code under test may catch exceptions during the step.
        """
        self.violation = self.violation or message

    def fault_free_before(self, when: float) -> bool:
        """Return whether no fault was in force during the `FAULT_FREE_S` before `when`."""
        return when - self.fault_until > FAULT_FREE_S

    def reset_counts(self) -> None:
        """Restart the counts of requests at zero."""
        self.served_count = 0
        self.answered_count = 0

    # Requests.

    def request_sent(self, name: str, proxy: Process) -> None:
        """Record that a client has sent a request to a proxy that is ready."""
        self._open[name] = OpenRequest(proxy, proxy.incarnation, self._clock.now + DEADLINE_S)

    def request_arrived(self, name: str, route: str, tenant: str, backend: Backend, work: Work) -> None:
        """Check the rules when a backend begins to work on a request."""
        self._work.setdefault(name, []).append(work)
        self._check_repeat(name, route, backend)
        self._check_client_left(name, backend)
        if tenant == LIMITED_TENANT:
            self._check_quota()
        self._check_draining(name, backend)
        self._check_evacuation(name, backend)

    def client_left(self, name: str, route: str) -> bool:
        """Record that the client of a request has disconnected; return False if the request is already answered."""
        request = self._open.pop(name, None)
        if request is None:
            return False
        self.left_count += 1
        self._left[name] = LeftRequest(request.proxy, request.incarnation, self._clock.now)
        if route != EFFECTFUL_ROUTE:
            self._clock.later(CANCELLATION_S, lambda: self._check_work_stopped(name))
        return True

    def _ran_without_interruption(self, name: str) -> bool:
        """Return whether the proxy has run without interruption since the client disconnected."""
        proxy, incarnation, at = self._left[name]
        return proxy.running and proxy.incarnation == incarnation and proxy.frozen_until <= at

    def _check_work_stopped(self, name: str) -> None:
        is_worked_on = any(work.is_in_progress() for work in self._work.get(name, ()))
        if is_worked_on and self._ran_without_interruption(name):
            self.report(f"GONE: a backend still works on {name} {CANCELLATION_S} s after its client disconnected")

    def _check_client_left(self, name: str, backend: Backend) -> None:
        left = self._left.get(name)
        if left is not None and self._clock.now - left.at > CANCELLATION_S and self._ran_without_interruption(name):
            self.report(
                f"GONE: {backend.name} gets {name} {self._clock.now - left.at:.2f} s after its client disconnected"
            )

    def _check_repeat(self, name: str, route: str, backend: Backend) -> None:
        runs = self.runs.setdefault(name, [])
        runs.append(backend.name)
        if route != EFFECTFUL_ROUTE:
            return
        if len(runs) > 1:
            self.report(f"TWICE: {name} ran on {runs}")
        if name in self._rejected:
            self.report(f"REFUSED: {name} runs after it was rejected")

    def _check_quota(self) -> None:
        now = self._clock.now
        self._limited_runs.append(now)
        while self._limited_runs[0] <= now - BOUNDS.quota_window_s:
            self._limited_runs.popleft()
        allowed = (RATE_PER_S * BOUNDS.quota_window_s + BURST) * (1 + BOUNDS.quota_excess) + BOUNDS.quota_slack
        if len(self._limited_runs) > allowed:
            self.report(f"QUOTA: {len(self._limited_runs)} requests in one span, {allowed:.0f} allowed")

    def _check_draining(self, name: str, backend: Backend) -> None:
        now, since = self._clock.now, backend.draining_since
        if since is not None and self.fault_free_before(now) and now - since > BOUNDS.drain_ms / 1000:
            self.report(f"DRAIN: {backend.name} gets {name} {now - since:.2f} s after it was listed as draining")

    def _check_evacuation(self, name: str, backend: Backend) -> None:
        now = self._clock.now
        on, at = self.evacuations.get(backend.zone, Evacuation(False, 0.0))
        if on and self.fault_free_before(now) and now - at > BOUNDS.evacuate_ms / 1000:
            self.report(f"EVAC: {backend.name} gets {name} {now - at:.2f} s after its zone was evacuated")

    def request_answered(self, name: str, route: str, final: Final, sent: float) -> None:
        """Check the answer that a client gets."""
        if name not in self._open:
            self.report(f"LOST: {name} is answered twice")
            return
        proxy = self._open.pop(name).proxy
        if self._clock.now > self._answer_until(proxy, sent):
            self.report(f"LOST: {name} is answered after its deadline")
        if final.verdict in REJECTIONS and route == EFFECTFUL_ROUTE:
            self._rejected.add(name)
            if self.runs.get(name):
                self.report(f"REFUSED: {name} is rejected after it has run")
        self.answered_count += 1
        self.served_count += final.verdict is Verdict.SERVED

    @staticmethod
    def _answer_until(proxy: Process, sent: float) -> float:
        """Return when a request must be answered; after a freeze of the proxy, the time counts from its end."""
        return max(sent, proxy.frozen_until) + DEADLINE_S

    def check_overdue(self) -> None:
        """Report requests that have no answer in time."""
        for name, (proxy, incarnation, deadline) in list(self._open.items()):
            if not proxy.running or proxy.incarnation != incarnation:
                del self._open[name]  # the client's connection was closed with the process
            elif self._clock.now > self._answer_until(proxy, deadline - DEADLINE_S) + ANSWER_MARGIN_S:
                self.report(f"LOST: {name} has no answer {ANSWER_MARGIN_S} s after its deadline")

    # Configurations.

    def configuration_applied(self, proxy: str, before: int, version: int) -> None:
        """Check that a proxy only moves to a newer version of the configuration."""
        if version <= before:
            self.report(f"CONFIG: {proxy} replaces version {before} of the configuration by version {version}")

    def configuration_acknowledged(self, version: int) -> None:
        """Record that a version of the configuration was acknowledged to the operator."""
        if version > self.acknowledged.version:
            self.acknowledged = Acknowledgement(version, self._clock.now)

    def evacuation_acknowledged(self, zone: str, on: bool) -> None:
        """Record that the start or the end of an evacuation was acknowledged to the operator."""
        self.evacuations[zone] = Evacuation(on, self._clock.now)

    def version_due(self) -> int:
        """Return the configuration version that every proxy must have by now, or -1 if there is none."""
        version, at = self.acknowledged
        due = self.fault_free_before(self._clock.now) and self._clock.now - at > BOUNDS.apply_within_ms / 1000
        return version if due else -1
