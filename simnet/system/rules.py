"""The users' rules that can be seen in the simulated system, checked as things happen.

By the users' names: TWICE and REFUSED (what may not be repeated), QUOTA (over every five seconds), DRAIN and EVAC (what
arrives at a backend that is to get nothing), CONFIG (no proxy goes back, all have in time what was acknowledged), LOST
(each request gets its one answer in time), and GONE (nothing is sent or worked on for a client that has left). Bounds
in time hold once there has been no fault for `CONTACT_S`, as on the users' page; GONE's at a proxy that runs on.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from simnet.clock import Clock
from simnet.system.backends import Backend, Work
from simnet.system.process import Process
from simnet.system.topology import BOUNDS, BURST, DEADLINE_S, EFFECTFUL_ROUTE, LIMITED_TENANT, RATE_PER_S
from thistleusher.core.ports import Final, Verdict

CONTACT_S = 5.0  # without a fault, after which bounds in time hold
GONE_S = 0.5  # after a client has left, from which no backend may get its request, or work on it where it is repeatable
LATE_S = 0.1  # after a request's deadline, when its answer counts as missing
REJECTIONS = (Verdict.OVER_QUOTA, Verdict.NO_ROOM)  # by which clients know that a request has not run


class OpenRequest(NamedTuple):
    """A request that waits for its answer, at one incarnation of a proxy."""

    proxy: Process
    incarnation: int
    deadline: float


class LeftRequest(NamedTuple):
    """A request whose client has left: at which incarnation of a proxy, which knew of it at `at`."""

    proxy: Process
    incarnation: int
    at: float


class Acknowledgement(NamedTuple):
    """The newest version of the configuration that an operator knows to be stored, and since when."""

    version: int
    at: float


class Evacuation(NamedTuple):
    """Whether a zone's backends are to get nothing, and since when that is acknowledged."""

    on: bool
    at: float


class Rules:
    """What was seen so far, and the first rule that it breaks."""

    def __init__(self, clock: Clock) -> None:
        self.violation = ""
        self.fault_until = 0.0
        self.acknowledged = Acknowledgement(-1, 0.0)
        self.evacuations: dict[str, Evacuation] = {}  # by zone
        self.runs: dict[str, list[str]] = {}  # request -> backends that it ran on
        self.served_count = 0
        self.answered_count = 0
        self.left_count = 0  # requests whose clients have left
        self._clock = clock
        self._open: dict[str, OpenRequest] = {}
        self._rejected: set[str] = set()
        self._left: dict[str, LeftRequest] = {}
        self._work: dict[str, list[Work]] = {}  # that backends have begun, by request
        self._limited_runs: deque[float] = deque()  # times of the limited tenant's runs, within the quota's window

    def report(self, why: str) -> None:
        """Note that a rule is broken. The world raises it after the step, as what runs in it may go on after errors."""
        self.violation = self.violation or why

    def calm_before(self, when: float) -> bool:
        """Return whether no fault was in force for `CONTACT_S` before a time."""
        return when - self.fault_until > CONTACT_S

    def reset_counts(self) -> None:
        """Count requests from now on."""
        self.served_count = 0
        self.answered_count = 0

    # Requests.

    def request_sent(self, name: str, proxy: Process) -> None:
        """Record that a client has sent a request to a proxy that takes requests."""
        self._open[name] = OpenRequest(proxy, proxy.incarnation, self._clock.now + DEADLINE_S)

    def request_arrived(self, name: str, route: str, tenant: str, backend: Backend, work: Work) -> None:
        """Check a request as a backend begins to work on it."""
        self._work.setdefault(name, []).append(work)
        self._check_repeat(name, route, backend)
        self._check_client_left(name, backend)
        if tenant == LIMITED_TENANT:
            self._check_quota()
        self._check_draining(name, backend)
        self._check_evacuation(name, backend)

    def client_left(self, name: str, route: str) -> bool:
        """Record that a request's client has left, as its proxy learns of it; return False where it has its answer."""
        request = self._open.pop(name, None)
        if request is None:
            return False
        self.left_count += 1
        self._left[name] = LeftRequest(request.proxy, request.incarnation, self._clock.now)
        if route != EFFECTFUL_ROUTE:
            self._clock.later(GONE_S, lambda: self._check_work_stopped(name))
        return True

    def _has_carried_on(self, name: str) -> bool:
        """Return whether the proxy of a request whose client has left has run ever since."""
        proxy, incarnation, at = self._left[name]
        return proxy.running and proxy.incarnation == incarnation and proxy.frozen_until <= at

    def _check_work_stopped(self, name: str) -> None:
        is_worked_on = any(work.is_in_progress() for work in self._work.get(name, ()))
        if is_worked_on and self._has_carried_on(name):
            self.report(f"GONE: a backend still works on {name}, {GONE_S} s after its client has left")

    def _check_client_left(self, name: str, backend: Backend) -> None:
        left = self._left.get(name)
        if left is not None and self._clock.now - left.at > GONE_S and self._has_carried_on(name):
            self.report(f"GONE: {backend.name} gets {name} {self._clock.now - left.at:.2f} s after its client has left")

    def _check_repeat(self, name: str, route: str, backend: Backend) -> None:
        runs = self.runs.setdefault(name, [])
        runs.append(backend.name)
        if route != EFFECTFUL_ROUTE:
            return
        if len(runs) > 1:
            self.report(f"TWICE: {name} ran on {runs}")
        if name in self._rejected:
            self.report(f"REFUSED: {name} runs after it was refused")

    def _check_quota(self) -> None:
        now = self._clock.now
        self._limited_runs.append(now)
        while self._limited_runs[0] <= now - BOUNDS.quota_window_s:
            self._limited_runs.popleft()
        allowed = (RATE_PER_S * BOUNDS.quota_window_s + BURST) * (1 + BOUNDS.quota_excess) + BOUNDS.quota_slack
        if len(self._limited_runs) > allowed:
            self.report(f"QUOTA: {len(self._limited_runs)} in five seconds, {allowed:.0f} allowed")

    def _check_draining(self, name: str, backend: Backend) -> None:
        now, since = self._clock.now, backend.draining_since
        if since is not None and self.calm_before(now) and now - since > BOUNDS.drain_ms / 1000:
            self.report(f"DRAIN: {backend.name} gets {name} {now - since:.2f} s after it was listed")

    def _check_evacuation(self, name: str, backend: Backend) -> None:
        now = self._clock.now
        on, at = self.evacuations.get(backend.zone, Evacuation(False, 0.0))
        if on and self.calm_before(now) and now - at > BOUNDS.evacuate_ms / 1000:
            self.report(f"EVAC: {backend.name} gets {name} {now - at:.2f} s after the zone was to be left")

    def request_answered(self, name: str, route: str, final: Final, sent: float) -> None:
        """Check a client's one answer as it arrives."""
        if name not in self._open:
            self.report(f"LOST: {name} is answered twice")
            return
        proxy = self._open.pop(name).proxy
        if self._clock.now > self._answer_until(proxy, sent):
            self.report(f"LOST: {name} is answered after its deadline")
        if final.verdict in REJECTIONS and route == EFFECTFUL_ROUTE:
            self._rejected.add(name)
            if self.runs.get(name):
                self.report(f"REFUSED: {name} has run and is refused")
        self.answered_count += 1
        self.served_count += final.verdict is Verdict.SERVED

    @staticmethod
    def _answer_until(proxy: Process, sent: float) -> float:
        """Return when a request is to be answered; one whose proxy was frozen has its time after that."""
        return max(sent, proxy.frozen_until) + DEADLINE_S

    def check_overdue(self) -> None:
        """Look for requests without an answer."""
        for name, (proxy, incarnation, deadline) in list(self._open.items()):
            if not proxy.running or proxy.incarnation != incarnation:
                del self._open[name]  # its client's connection ended with the process
            elif self._clock.now > self._answer_until(proxy, deadline - DEADLINE_S) + LATE_S:
                self.report(f"LOST: {name} has no answer")

    # Configurations.

    def configuration_applied(self, proxy: str, before: int, version: int) -> None:
        """Check that a proxy goes up, from one version of the configuration to another."""
        if version <= before:
            self.report(f"CONFIG: {proxy} goes back from {before} to {version}")

    def configuration_acknowledged(self, version: int) -> None:
        """Record that an operator has the answer that a version is stored."""
        if version > self.acknowledged.version:
            self.acknowledged = Acknowledgement(version, self._clock.now)

    def evacuation_acknowledged(self, zone: str, on: bool) -> None:
        """Record that an operator has the answer that an evacuation has begun or ended."""
        self.evacuations[zone] = Evacuation(on, self._clock.now)

    def version_due(self) -> int:
        """Return the version that every proxy must have by now; -1 for none."""
        version, at = self.acknowledged
        due = self.calm_before(self._clock.now) and self._clock.now - at > BOUNDS.apply_within_ms / 1000
        return version if due else -1
