"""What the ingresses of a large fleet say to one another: to whom, when and within which budget; pure.

What one ingress sends a second is bounded whatever its traffic and the size of the fleet; what waits is merged, never
queued without end; and a customer whose set is too wide for updates has one account, at its owner.
"""

from thistleusher.gossip.outbox import Outbox
from thistleusher.gossip.owners import Owners
from thistleusher.gossip.updates import Gossip

__all__ = ["Gossip", "Outbox", "Owners"]
