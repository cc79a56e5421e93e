"""Messages between the ingresses of a large deployment: their receivers, timing and rate limits. Pure.

The messages that one ingress sends a second are bounded, whatever its traffic and the number of ingresses. Waiting
updates are merged, so the queue is bounded. A customer whose ingress set is too large for updates has a single account,
kept by its owner.
"""

from thistleusher.gossip.outbox import Outbox
from thistleusher.gossip.owners import Owners
from thistleusher.gossip.updates import Gossip

__all__ = ["Gossip", "Outbox", "Owners"]
