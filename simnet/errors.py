"""The error that ends a simulated run."""

from __future__ import annotations


class RuleViolationError(AssertionError):
    """A rule of the simulation is broken. Its notes, if any, hold the log of the run."""
