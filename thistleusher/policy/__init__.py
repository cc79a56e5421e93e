"""The decision module: it decides which backend serves a request, whether it is retried, and what is rejected.

The module is pure: it does no I/O and reads no clock. Times arrive with events; the same events give the same actions.
"""

from thistleusher.policy.gateway import Gateway

__all__ = ["Gateway"]
