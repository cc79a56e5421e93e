"""The decision module: it decides which backend serves a request, whether it is retried, and what is rejected.

It promises to be pure: no I/O and no clock, every time comes with an event, and the same events give the same actions.
"""

from thistleusher.policy.gateway import Gateway

__all__ = ["Gateway"]
