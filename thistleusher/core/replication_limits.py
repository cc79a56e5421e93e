"""Limits of usage replication and retention, derived from the settings."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.core.datagrams import NOTIFY_INTERVAL_S, NOTIFY_SHARE
from thistleusher.core.settings import Settings

RETAINED_WINDOWS = 6.0  # windows after which an idle customer is evicted, as its bucket has long been full
NOTIFY_INTERVAL_MAX_S = 0.25  # longest interval at which usage is replicated without gossip


class ReplicationLimits(NamedTuple):
    """Whether peers are notified of usage, seconds between notifications, and messages per notification and peer."""

    enabled: bool
    interval_s: float
    max_messages: int


def replication_limits(settings: Settings, gossip: bool) -> ReplicationLimits:
    """Return the limits of usage replication. With `gossip`, an update does not go to every peer.

    All notifications together use at most `NOTIFY_SHARE` of an ingress's inbound message limit.
    """
    peers = settings.instances - 1
    notifications_per_s = NOTIFY_SHARE * settings.peer_in_per_s
    interval = max(NOTIFY_INTERVAL_S, peers / max(1e-9, notifications_per_s))
    return ReplicationLimits(
        enabled=settings.peers and peers > 0 and (interval <= NOTIFY_INTERVAL_MAX_S or gossip),
        interval_s=NOTIFY_INTERVAL_S if gossip else interval,
        max_messages=int(notifications_per_s * interval / max(1, peers)),
    )


def retention_s(settings: Settings) -> float:
    """Return the seconds after which an idle customer is evicted."""
    windows = (p.burst / p.rate for p in settings.plans if p.rate > 0)
    return RETAINED_WINDOWS * max(windows, default=1.0)
