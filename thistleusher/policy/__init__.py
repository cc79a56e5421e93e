"""The one decision module: it decides which server, whether to try again, what is turned away.

Pure: no I/O and no clock; every time it needs comes with an event. The same events give the same actions.
"""

from thistleusher.policy.gateway import Gateway

__all__ = ["Gateway"]
