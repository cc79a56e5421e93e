"""What one ingress knows of one backend, from its own traffic."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from thistleusher.core.events import BackendEntry
from thistleusher.core.snapshots import LearnedBackend


class OutstandingAttempt(NamedTuple):
    """An attempt without its outcome. `sent` in Unix seconds, `work` in multiples of its class's mean."""

    sent: float
    class_name: str
    plan: str
    units: float
    work: float


class Backend:
    """A backend as seen from the ingress's own traffic; `policy.fleet` decides by these fields."""

    def __init__(self, entry: BackendEntry, now: float, tokens: float) -> None:
        """`tokens`: part of a slow start's token that it begins with; a small part never comes to one without."""
        self.entry = entry
        self.usable = False  # the endpoint list allows new attempts
        self.outstanding: dict[str, OutstandingAttempt] = {}  # own attempts, by request
        self.work = 0.0  # of those, all together
        self.silent = False  # what is outstanding there takes no slots from other attempts
        self.last_answered = now
        self.unanswered = 0.0  # usual latencies by which answers to attempts cancelled since then were late
        self.ratio = 1.0  # of its latency to its class's unloaded latency
        self.errors = 0.0  # moving share of faults
        self.fault_evidence = 0.0  # that it is faulty, by its faults and answers (cumulative sum, Page 1954)
        self.ejected_until = 0.0
        self.trial = False  # one attempt at a time until one succeeds
        self.tokens = tokens  # of its slow start, at `tokens_at`
        self.tokens_at = now
        self.rejected: dict[str, tuple[float, float]] = {}  # class or plan: rejected (1) or served (0), when

    def start(self, request: str, attempt: OutstandingAttempt) -> None:
        """Note an attempt that goes out."""
        self.outstanding[request] = attempt
        self.work += attempt.work

    def finish(self, request: str) -> OutstandingAttempt | None:
        """Return the attempt that has ended; None where none was out."""
        attempt = self.outstanding.pop(request, None)
        if attempt is not None:
            self.work = self.work - attempt.work if self.outstanding else 0.0
        return attempt

    def overdue(self, now: float, latency: Mapping[str, float]) -> float:
        """Return the sum of the times for which it owes its answers, in usual latencies of their classes.

        What it owed to attempts that were cancelled counts on: a backend from which nobody gets an answer is not to be
        hidden by clients that do not wait for it.
        """
        return self.unanswered + sum(self._waited(now, attempt, latency) for attempt in self.outstanding.values())

    def cancelled(self, now: float, attempt: OutstandingAttempt, latency: Mapping[str, float]) -> None:
        """Keep for how long an answer was overdue to an attempt that was cancelled.

        A client that leaves before the usual latency says nothing of its backend. Nor does anybody, once it counts as
        silent.
        """
        if not self.silent:
            self.unanswered += max(0.0, self._waited(now, attempt, latency) - 1.0)

    def _waited(self, now: float, attempt: OutstandingAttempt, latency: Mapping[str, float]) -> float:
        return (now - max(attempt.sent, self.last_answered)) / (latency[attempt.class_name] * attempt.work)

    def to_learned(self) -> LearnedBackend:
        """Return what the next incarnation of this ingress can go on from."""
        return LearnedBackend(
            self.entry.born, self.ratio, self.errors, self.fault_evidence, self.ejected_until, self.trial
        )

    def restore(self, learned: LearnedBackend) -> None:
        """Go on from what an earlier incarnation of this ingress knew."""
        self.ratio = learned.ratio
        self.errors = learned.errors
        self.fault_evidence = learned.fault_evidence
        self.ejected_until = learned.ejected_until
        self.trial = learned.trial
