"""The limits that the auditor checks, and its verdict: broken rules and figures."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

RULES = ("lost", "twice", "drain", "cold", "ceiling", "quota", "fault", "starved")
REFUSALS = (429, 503)


@dataclass(frozen=True, slots=True)
class PlanRule:
    """A plan's quota and ceiling, in units and units per second; 0 for no limit.

    The errors are the units allowed beyond them; without an `error`, the quota is only reported.
    """

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    error: float | None = None
    ceiling_error: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits of the auditor. Times are in seconds; `effects` gives safe, keyed or unsafe by class."""

    plans: Mapping[str, PlanRule]
    effects: Mapping[str, str]
    answer_slack: float = 0.05
    drain_grace: float = 1.0
    drain_slack: float = 0.05
    cold_multiple: float = 4.0
    cold_window: float = 1.5
    ceiling_slack_s: float = 0.15  # tolerance: the units that the ceiling's rate allows in this time
    passes_server_errors: bool = False  # answers of servers with status 500 are passed through, so they are no fault
    fault_free: bool = False  # no fault was injected during the run
    starved_min_refusals: int = 3  # refusals with unused quota that a member may get in a run without faults
    starved_fraction: float = 0.05  # fraction of its attempts that may be refused so, if that is more


class Breach(NamedTuple):
    """One broken rule."""

    rule: str
    at: float
    message: str


@dataclass(slots=True)
class Figures:
    """The attempts of one plan and request class, by outcome."""

    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    response_times: list[float] = field(default_factory=list)  # seconds, of served attempts

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the response times of served attempts, in seconds; 0 without any."""
        response_times = sorted(self.response_times)
        return (
            response_times[min(len(response_times) - 1, int(fraction * len(response_times)))] if response_times else 0.0
        )


@dataclass(slots=True)
class Verdict:
    """The broken rules and the figures of a run."""

    breaches: list[Breach]
    figures: dict[tuple[str, str], Figures]
    quota_excess: dict[str, float]  # by plan: largest number of units that a member had beyond its quota
    ceiling_excess: dict[str, float]  # by plan: the same beyond the ceiling; negative if no member reached it

    @property
    def kept(self) -> bool:
        """Return whether no rule was broken."""
        return not self.breaches

    def lines(self) -> list[str]:
        """Format the verdict for humans, one fact per line."""
        out = [
            f"{'plan':10} {'class':14} {'tries':>7} {'served':>7} {'refused':>7} {'failed':>7}"
            f" {'p50 ms':>7} {'p99 ms':>7}"
        ]
        for (plan, cls), f in sorted(self.figures.items()):
            out.append(
                f"{plan:10} {cls:14} {f.tries:7} {f.served:7} {f.refused:7} {f.failed:7}"
                f" {f.quantile(0.5) * 1000:7.1f} {f.quantile(0.99) * 1000:7.1f}"
            )
        for plan, units in sorted(self.quota_excess.items()):
            out.append(f"beyond quota, worst member of {plan}: {units:.2f} units")
        for plan, units in sorted(self.ceiling_excess.items()):
            out.append(f"beyond ceiling, worst member of {plan}: {units:.2f} units")
        counts = Tally(b.rule for b in self.breaches)
        for rule in RULES:
            out.append(f"rule {rule:8} {'kept' if not counts[rule] else f'BROKEN {counts[rule]} times'}")
        out += [f"  {b.rule}: {b.message}" for b in self.breaches[:20]]
        return out
