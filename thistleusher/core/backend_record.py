"""State of one backend, learned from this ingress's own traffic."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.core.events import BackendEntry
from thistleusher.core.rejection_model import Verdicts
from thistleusher.core.snapshots import LearnedBackend


class OutstandingAttempt(NamedTuple):
    """An attempt that has no outcome yet. `sent` is Unix time in seconds, `work` a multiple of its class's mean."""

    sent: float
    class_name: str
    plan: str
    units: float
    work: float


class Backend:
    """State of one backend; `policy.fleet` chooses backends by these fields."""

    def __init__(self, entry: BackendEntry, now: float, tokens: float) -> None:
        """`tokens`: initial fraction of a slow-start token; from zero, a tiny refill rate might never reach one."""
        self.entry = entry
        self.usable = False  # the endpoint list allows new attempts
        self.outstanding: dict[str, OutstandingAttempt] = {}  # this ingress's attempts, by request id
        self.work = 0.0  # total work of the outstanding attempts
        self.silent = False  # silent backends' outstanding attempts take no slots of the concurrency limit
        self.last_answered = now
        self.unanswered = 0.0  # overdue time of attempts cancelled since then, in typical latencies
        self.ratio = 1.0  # moving mean of its latency over the class's unloaded latency
        self.errors = 0.0  # moving share of faults
        self.fault_evidence = 0.0  # log-likelihood ratio for a faulty backend (cumulative sum, Page 1954)
        self.ejected_until = 0.0
        self.trial = False  # limited to one attempt at a time until one succeeds
        self.unsafe_trial_from = 0.0  # earliest time of a trial by a request that may run only once
        self.tokens = tokens  # slow-start tokens at `tokens_at`
        self.tokens_at = now
        self.rejected: Verdicts = {}

    def start(self, request: str, attempt: OutstandingAttempt) -> None:
        """Record an attempt that starts."""
        self.outstanding[request] = attempt
        self.work += attempt.work

    def finish(self, request: str) -> OutstandingAttempt | None:
        """Remove and return the attempt that has ended, or None if none was outstanding."""
        attempt = self.outstanding.pop(request, None)
        if attempt is not None:
            self.work = self.work - attempt.work if self.outstanding else 0.0
        return attempt

    def has_trial_out(self) -> bool:
        """Return whether this backend is in trial and an attempt is outstanding that started after its ejection.

        Older ones may hang until their deadlines. They are no trials, and keep no other attempt from being one.
        """
        return self.trial and any(attempt.sent >= self.ejected_until for attempt in reversed(self.outstanding.values()))

    def overdue(self, now: float, latency: Mapping[str, float]) -> float:
        """Return the total waiting time of outstanding answers, in typical latencies of their classes.

        Overdue time of cancelled attempts still counts. Otherwise clients that do not wait would hide a backend that
        never answers.
        """
        return self.unanswered + sum(self._waited(now, attempt, latency) for attempt in self.outstanding.values())

    def record_cancellation(self, now: float, attempt: OutstandingAttempt, latency: Mapping[str, float]) -> None:
        """Add the overdue time of a cancelled attempt.

        A cancellation before the typical latency is no evidence against the backend. Nothing is added for a backend
        that already counts as silent.
        """
        if not self.silent:
            self.unanswered += max(0.0, self._waited(now, attempt, latency) - 1.0)

    def _waited(self, now: float, attempt: OutstandingAttempt, latency: Mapping[str, float]) -> float:
        return (now - max(attempt.sent, self.last_answered)) / (latency[attempt.class_name] * attempt.work)

    def to_learned(self) -> LearnedBackend:
        """Return the learned state for the next incarnation of this ingress."""
        return LearnedBackend(
            self.entry.born, self.ratio, self.errors, self.fault_evidence, self.ejected_until, self.trial
        )

    def restore(self, learned: LearnedBackend) -> None:
        """Restore the learned state of an earlier incarnation of this ingress."""
        self.ratio = learned.ratio
        self.errors = learned.errors
        self.fault_evidence = learned.fault_evidence
        self.ejected_until = learned.ejected_until
        self.trial = learned.trial
