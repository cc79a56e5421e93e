"""Choice of a backend and the limit on outstanding attempts, both learned from this ingress's own traffic.

The backend with the least own outstanding work over learned speed is chosen, with outlier ejection and slow start of
cold backends. One concurrency limit over all backends follows latency, like TCP Vegas.
"""

from __future__ import annotations

import math
import random
import statistics
import zlib
from itertools import islice

from thistleusher.core import events
from thistleusher.core.actions import Action, Log
from thistleusher.core.backend_record import Backend, OutstandingAttempt
from thistleusher.core.backend_table import BackendTable
from thistleusher.core.decision_ports import RoutedRequest
from thistleusher.core.events import BackendEntry, ListKind, Outcome
from thistleusher.core.rejection_model import RejectionModel
from thistleusher.core.settings import ClassSettings, Effect, Group, Settings
from thistleusher.core.snapshots import Learned
from thistleusher.core.work_model import WorkModel

# Outlier ejection.
FAULTY_SHARE = 0.5  # expected share of faults at a faulty backend
TYPICAL_FAULTS_MIN, TYPICAL_FAULTS_MAX = 0.02, 0.4  # bounds of the share of faults assumed at a healthy backend
EJECT_EVIDENCE = 6.0  # log-likelihood ratio of the faulty share to the typical one at which a backend is ejected
TRIAL_EVIDENCE = 4.0  # evidence left after a successful trial, so that a relapse ejects the backend sooner
EJECTION_S = 3.0  # time for which an ejected backend gets no attempts before a trial
MIN_IN_USE_SHARE = 0.5  # share of usable backends that ejection must leave in use
UNSAFE_TRIAL_SHARE = 0.01  # unsafe trials beside backends in use, as a fraction of the served attempts
UNSAFE_TRIAL_DELAY_S = 1.0  # time after the end of an ejection in which trials are left to repeatable requests

# Concurrency limit.
INITIAL_SLOTS = 6.0  # initial outstanding attempts per backend, over all ingresses
MIN_SLOTS = 2.0  # lower bound of outstanding attempts per backend, over all ingresses
BASE_LATENCY_MAX_SHARE = 0.16  # upper bound of a class's unloaded latency, as a fraction of its latency target
MIN_STEP, MAX_STEP = 0.01, 0.3  # fraction of the slots removed under overload: at least per answer, at most per second
LATENCY_RATIO_MAX = 4.0  # cap of an answer's latency over the unloaded latency, so that outliers do not dominate
OVERLOADED = 1.8  # latency over unloaded latency above which the concurrency limit shrinks

# Choice of a backend.
ERROR_COST = 4.0  # relative extra cost of a backend whose answers are all faults
TIE_BREAK = 0.02  # largest random increase of the cost, as a fraction
RATE_DECAY_S = 5.0  # time constant of the rate of served attempts
COLD_SAFETY = 0.8  # used fraction of the configured cold budget, as the warm rate is only an estimate
COLD_MAX = 2.0  # cap of the cold budget, in guaranteed capacities; beyond it a cold backend only gets slower
MAX_TOKENS = 1.5  # most attempts that a cold backend's token bucket holds

# Subsets of many backends.
SUBSET_MIN = 16  # smallest subset of one ingress, in backends
SUBSET_REVISIT_S = 3.0  # mean time between attempts at one backend up to which a busy ingress enlarges its subset
SUBSETS_PER_BACKEND = 4  # least mean number of subsets that contain a backend
SUBSET_INTERVAL_S = 1.0  # interval between recomputations of the subset
FULL_SCAN_MAX = 24  # up to this number of backends, each choice compares all of them
SAMPLE_SIZE = 8  # backends compared in one random sample
SAMPLE_ATTEMPTS = 4  # samples tried in the subset, and then in all backends

FAULTS = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)
ANSWERS = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.FULL)


class Fleet:
    """All backends. `choose` compares each of up to `FULL_SCAN_MAX`, else random samples of `SAMPLE_SIZE`.

    Sampling follows Mitzenmacher 2001. With more than `FULL_SCAN_MAX` backends an ingress uses a subset (deterministic
    subsetting, Beyer et al. 2016, ch. 20), which reuses connections and speeds up learning about each backend. Subsets
    are spaced evenly in the order of hashed ids, so each backend is in about as many; a busier ingress has a larger
    one. All backends are sampled only if several samples of the subset contain no eligible backend.
    """

    def __init__(self, settings: Settings, rng: random.Random, actions: list[Action], now: float) -> None:
        self.settings = settings
        self.rng = rng
        self.actions = actions
        self.classes = {c.name: c for c in settings.classes}
        self.backends = BackendTable(rng)
        self.ready: list[Backend] = []  # usable backends, if more than `FULL_SCAN_MAX` in the order of hashed ids
        self.subset: list[Backend] = []  # the ready backends that this ingress uses
        self.subset_at = -math.inf  # time of the last subset computation
        self.ingress_count = 1 if settings.own_backends else settings.instances  # ingresses that use the backends
        self.usable_count = 0
        self.latency = {c.name: c.objective * BASE_LATENCY_MAX_SHARE for c in settings.classes}  # moving mean by class
        self.base_latency = dict(self.latency)  # unloaded latency by class
        self.work = {c.name: WorkModel() for c in settings.classes}
        self.slots = 0.0  # concurrency limit, in mean requests
        self.slots_per_backend = INITIAL_SLOTS / self.ingress_count  # initial limit per usable backend
        self.pressure = 1.0  # moving mean of latency over unloaded latency
        self.last_adjusted_at = now
        self.paused_until = 0.0  # no attempt starts before; set while the limit is below one slot
        self.typical_faults = TYPICAL_FAULTS_MIN  # share of faults at the median backend, updated at each fault
        self.rejections = RejectionModel((*self.classes, *(p.name for p in settings.plans)))
        self.unsafe_trials = 0.0  # unsafe trials allowed by the attempts served since the last ejection, at most one
        self.rate = 0.0  # served attempts per second at one backend, an estimate for a warm one
        self.rate_at = now

    def set_class(self, cls: ClassSettings) -> None:
        """Add a class that is not in the settings, or replace the settings of a class."""
        if cls.name not in self.classes:
            self.latency[cls.name] = self.base_latency[cls.name] = cls.objective * BASE_LATENCY_MAX_SHARE
            self.work[cls.name] = WorkModel()
            self.rejections.add(cls.name)
        self.classes[cls.name] = cls

    def has_free_slot(self, now: float) -> bool:
        """Return whether the concurrency limit allows another attempt."""
        return self.backends.load < max(1.0, self.slots) and now >= self.paused_until

    def warm_up_factor(self, now: float, backend: Backend) -> float:
        """Return the fraction of its capacity that a backend is guaranteed to have at its age (slow start)."""
        grown = 1.0
        if backend.entry.born > 0 and self.settings.cold_time > 0:
            grown = (now - backend.entry.born) / self.settings.cold_time
        start = self.settings.start_capacity
        return min(1.0, start + (1 - start) * max(0.0, grown))

    def choose(self, now: float, request: RoutedRequest) -> Backend | None:
        """Return the backend for an attempt. Return None if no slot is free or no backend is eligible."""
        if not self.has_free_slot(now):
            return None
        if len(self.ready) > FULL_SCAN_MAX:
            if now - self.subset_at > SUBSET_INTERVAL_S:
                self.recompute_subset(now)
            for candidates in (*[self.subset] * SAMPLE_ATTEMPTS, *[self.ready] * SAMPLE_ATTEMPTS):
                best = self.least_loaded(now, request, self.rng.sample(candidates, min(SAMPLE_SIZE, len(candidates))))
                if best is not None:
                    return best
        return self.least_loaded(now, request, self.ready) or self.last_resort(now, request, self.ready)

    def recompute_subset(self, now: float) -> None:
        """Recompute the subset without ejected backends. Cost: linear in the backends, once per `SUBSET_INTERVAL_S`."""
        count = len(self.ready)
        by_rate = round(SUBSET_REVISIT_S * self.rate * self.usable_count)
        size = max(SUBSET_MIN, SUBSETS_PER_BACKEND * count // self.ingress_count, by_rate)
        start = count * (self.settings.me % self.ingress_count) // self.ingress_count
        ring = (self.ready[(start + n) % count] for n in range(count))
        self.subset, self.subset_at = list(islice((b for b in ring if now >= b.ejected_until), size)), now

    def least_loaded(self, now: float, request: RoutedRequest, candidates: list[Backend]) -> Backend | None:
        """Return the eligible backend of least cost: own outstanding work over learned speed. None if there is none."""
        best: Backend | None = None
        best_cost = math.inf
        keyed = request.ran_on if request.request_class.effect is Effect.KEYED else None
        keys = (request.request_class.name, request.event.plan)
        for backend in candidates:
            if not self._is_eligible(now, backend, request, keyed):
                continue
            cost = (backend.work + request.work) * backend.ratio * (1 + ERROR_COST * backend.errors)
            for key in keys:
                cost *= self.rejections.cost_factor(now, backend.rejected, key)
            cost *= 1 + TIE_BREAK * self.rng.random()
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def _is_eligible(self, now: float, backend: Backend, request: RoutedRequest, keyed: BackendEntry | None) -> bool:
        """Return whether a backend may get this request; `keyed`: the backend whose group deduplicates its key."""
        must_be_repeatable = self.unsafe_trials < 1.0 or now < backend.unsafe_trial_from  # a sick backend loses others
        if backend.trial and must_be_repeatable and request.request_class.effect is Effect.UNSAFE:
            return False
        return self._is_usable(now, backend, request, keyed)

    def last_resort(self, now: float, request: RoutedRequest, candidates: list[Backend]) -> Backend | None:
        """Return an ejected backend to try with a request that no other can take, each once per `EJECTION_S`."""
        if request.request_class.effect is not Effect.UNSAFE:
            return None
        due = [b for b in candidates if now >= b.unsafe_trial_from and self._is_usable(now, b, request, None)]
        return min(due, key=lambda b: b.unsafe_trial_from) if due else None

    def _is_usable(self, now: float, backend: Backend, request: RoutedRequest, keyed: BackendEntry | None) -> bool:
        entry = backend.entry
        if entry.backend in request.failed_backends or now < backend.ejected_until or backend.has_trial_out():
            return False
        if keyed is not None:
            group = request.request_class.group
            if (group is Group.ZONE and entry.zone != keyed.zone) or (group is Group.CELL and entry.cell != keyed.cell):
                return False
        return entry.born <= 0 or self._has_token(now, backend)

    def _has_token(self, now: float, backend: Backend) -> bool:
        """Return whether a backend's slow start allows another attempt."""
        warm_up = self.warm_up_factor(now, backend)
        if warm_up >= 1.0:
            return True
        gain = self.rate * self.subset_factor() * warm_up * min(COLD_SAFETY * self.settings.fall_multiple, COLD_MAX)
        backend.tokens = min(MAX_TOKENS, backend.tokens + gain * (now - backend.tokens_at))
        backend.tokens_at = now
        return backend.tokens >= 1.0

    def subset_factor(self) -> float:
        """Return by how much a subset raises this ingress's rate per backend; as many fewer ingresses use each one."""
        return len(self.ready) / len(self.subset) if len(self.ready) > FULL_SCAN_MAX and self.subset else 1.0

    def record_attempt(self, now: float, backend: Backend, request: RoutedRequest) -> None:
        """Record an attempt that starts."""
        event = request.event
        attempt = OutstandingAttempt(now, request.request_class.name, event.plan, event.units, request.work)
        self.backends.started(backend, event.id, attempt)
        if backend.trial and request.request_class.effect is Effect.UNSAFE:
            backend.unsafe_trial_from = now + EJECTION_S
            self.unsafe_trials = 0.0
        if self.warm_up_factor(now, backend) < 1.0:
            backend.tokens -= request.work

    def record_outcome(self, now: float, event: events.AttemptEnded) -> None:
        """Update the backend's and its class's statistics by an attempt's outcome."""
        backend = self.backends.get(event.backend)
        attempt = self.backends.finished(backend, event.request) if backend is not None else None
        if backend is None or attempt is None:
            return
        if event.outcome in ANSWERS:  # a time-out proves neither life nor a fault
            self.backends.mark_answered(now, backend)
        elif event.outcome is Outcome.CANCELLED:
            backend.record_cancellation(now, attempt, self.latency)
        latency = event.elapsed / attempt.work  # scaled to its class's mean work
        late = event.outcome is Outcome.TIMEOUT and latency > self.latency[attempt.class_name] and not backend.silent
        if event.outcome is Outcome.OK or late:
            self._adjust_slots(now, backend, latency / self.base_latency[attempt.class_name], event.elapsed)
        if event.outcome in (Outcome.OK, Outcome.FULL):  # relative to all backends, as all reject under overload
            for key in (attempt.class_name, attempt.plan):
                self.rejections.record(now, backend.rejected, key, event.outcome is Outcome.FULL)
        if event.outcome is Outcome.OK:
            self._record_success(now, backend, attempt, event.elapsed)
        elif event.outcome in FAULTS:
            self._record_fault(now, backend)

    def _adjust_slots(self, now: float, backend: Backend, ratio: float, elapsed: float) -> None:
        """Adapt the concurrency limit to latency; `ratio`: an answer's latency over the unloaded latency."""
        ratio = min(ratio, LATENCY_RATIO_MAX)  # a few very expensive requests are no overload
        backend.ratio += 0.1 * (ratio - backend.ratio)
        step = min(MAX_STEP, max(MIN_STEP, MAX_STEP * (now - self.last_adjusted_at)))  # rare answers weigh more
        self.last_adjusted_at = now
        self.pressure += min(0.4, 5 * step) * (ratio - self.pressure)
        if self.pressure > OVERLOADED:  # for many ingresses one slot per backend is too many
            self.slots = max(MIN_SLOTS * self.usable_count / self.ingress_count, self.slots * (1 - step))
        elif self.backends.load + 2 > self.slots:
            self.slots += min(self.slots, 1 / self.slots)
        if self.slots < 1:  # less than one outstanding attempt on average: pause after each
            self.paused_until = now + min(1.0, elapsed) * (1 / self.slots - 1)

    def _record_success(self, now: float, backend: Backend, attempt: OutstandingAttempt, elapsed: float) -> None:
        """Update rate, work and latency. Only served attempts count in the rate, as rejections show no capacity."""
        decay = math.exp((self.rate_at - now) / RATE_DECAY_S)
        self.rate, self.rate_at = self.rate * decay + 1 / RATE_DECAY_S / max(1, self.usable_count), now
        self.unsafe_trials = min(1.0, self.unsafe_trials + (1.0 if backend.trial else UNSAFE_TRIAL_SHARE))
        if backend.trial:
            backend.trial = False
            backend.fault_evidence = TRIAL_EVIDENCE
        backend.errors *= 0.8
        self.update_fault_evidence(backend, False)
        name = attempt.class_name
        self.work[name].update(attempt.units, elapsed)
        self.latency[name] += 0.05 * (elapsed / attempt.work - self.latency[name])
        base_rate = 0.01 if self.pressure < OVERLOADED else 0.0005
        base = self.base_latency[name] + base_rate * (self.latency[name] - self.base_latency[name])
        self.base_latency[name] = min(base, self._base_max(name))

    def _base_max(self, name: str) -> float:
        """Return the upper bound of a class's unloaded latency, so that overload is never learned as the norm."""
        return BASE_LATENCY_MAX_SHARE * self.classes[name].objective

    def _record_fault(self, now: float, backend: Backend) -> None:
        self.update_fault_evidence(backend, True)
        backend.errors += 0.3 * (1 - backend.errors)
        if backend.trial or backend.fault_evidence >= EJECT_EVIDENCE:
            self.eject(now, backend, "failing")

    def update_fault_evidence(self, backend: Backend, fault: bool) -> None:
        """Update the evidence that a backend is faulty, not as the median one; linear in the backends for a fault."""
        if fault:
            median = statistics.median_low([b.errors for b in self.backends.values() if b.usable] or [0.0])
            self.typical_faults = min(TYPICAL_FAULTS_MAX, max(TYPICAL_FAULTS_MIN, median))
            gain = math.log(FAULTY_SHARE / self.typical_faults)
        else:
            gain = math.log((1 - FAULTY_SHARE) / (1 - self.typical_faults))
        backend.fault_evidence = max(0.0, backend.fault_evidence + gain)

    def eject_silent(self, now: float, factor: float) -> list[Backend]:
        """Eject backends whose answers are overdue by `factor` typical latencies in total, and return them."""
        owing = (b for b in self.backends.values() if b.outstanding)
        silent = [b for b in owing if factor * max(1.0, b.ratio) <= b.overdue(now, self.latency)]
        for backend in silent:
            if not backend.trial or backend.has_trial_out():  # attempts from before an ejection are no new evidence
                self.eject(now, backend, "silent")
        return silent

    def eject(self, now: float, backend: Backend, reason: str) -> None:
        """Eject a backend for `EJECTION_S`, then allow one trial at a time. `MIN_IN_USE_SHARE` of all stay in use."""
        ejected = sum(1 for b in self.backends.values() if b.usable and now < b.ejected_until)
        if now < backend.ejected_until or ejected + 1 > (1 - MIN_IN_USE_SHARE) * self.usable_count:
            return
        backend.ejected_until = now + EJECTION_S
        backend.unsafe_trial_from = backend.ejected_until + UNSAFE_TRIAL_DELAY_S
        backend.trial = True
        self.unsafe_trials = 0.0
        if reason == "silent":
            self.backends.mark_silent(backend)
        self.actions.append(Log(f"ejected {backend.entry.backend}: {reason}"))

    def apply_list_update(self, now: float, event: events.ListUpdate) -> None:
        """Apply an endpoint list: draining and removed backends get no new attempts, new ones a slow start."""
        if event.kind is ListKind.FAILED:
            return
        self.backends.apply_list_update(now, event)
        self.ready = [b for b in self.backends.values() if b.usable]
        if len(self.ready) > FULL_SCAN_MAX:
            self.ready.sort(key=lambda b: zlib.crc32(b.entry.backend.encode()))
        self.subset_at = -math.inf
        self.usable_count = len(self.ready)
        self.slots = self.slots or max(2.0, self.slots_per_backend * self.usable_count)

    def to_learned(self, now: float) -> Learned:
        """Return the learned state for the next incarnation of this ingress. Cost: linear in the backends."""
        classes = {n: w.to_learned(self.latency[n], self.base_latency[n]) for n, w in self.work.items()}
        backends = {name: b.to_learned() for name, b in self.backends.items() if b.usable}
        return Learned(now, self.slots, self.usable_count, self.rate, classes, backends)

    def restore(self, now: float, learned: Learned) -> None:
        """Restore what an earlier incarnation had learned. Call it before the first endpoint list."""
        for name, known in learned.classes.items():
            if name in self.work:
                self.latency[name] = known.latency
                self.base_latency[name] = min(known.base, self._base_max(name))
                self.work[name].restore(known)
        self.backends.restored = dict(learned.backends)
        self.rate, self.rate_at = learned.rate, now
        if learned.slots > 0 and learned.usable > 0:
            self.slots_per_backend = learned.slots / learned.usable
