"""The error by which a simulated run ends."""

from __future__ import annotations


class RuleViolationError(AssertionError):
    """A rule does not hold. The notes of the error list what happened before."""
