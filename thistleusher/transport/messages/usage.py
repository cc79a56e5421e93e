"""Between proxies and the registry: heartbeats, and the counter service's charges."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class ProxyHeartbeat(Message, tag="presence", frozen=True):
    """A proxy's short heartbeat.

    `sent`: when, on the proxy's clock. `echo`: the newest echo that the proxy has received, as (registry, its time).
    """

    incarnation: str
    sent: float
    echo: tuple[str, float] | None


class ProxyStatusReport(Message, tag="presence-report", frozen=True):
    """A proxy's full heartbeat.

    Beyond the short one: whether the proxy is ready, which of the peers it watches are silent, and the `attributes`
    under which it is listed (`front`, `ip`, `zone`, `region`).
    """

    incarnation: str
    sent: float
    echo: tuple[str, float] | None
    ready: bool
    silent_peers: tuple[str, ...]
    attributes: dict[str, str]


class HeartbeatEcho(Message, tag="echo", frozen=True):
    """The registry's answer to a heartbeat.

    `sent` is the heartbeat's own, on the proxy's clock; `registry_time` is on the registry's clock; `share` is the
    part of each rate limit that the proxy may grant alone while it does not hear the registry.
    """

    registry: str
    sent: float
    registry_time: float
    share: float


class Charge(Message, tag="charge", frozen=True):
    """Charge a tenant's global count.

    `incarnation` and `number` identify the charge: an answer is matched to its caller by them, and a charge that
    arrives twice counts once. An `amount` below 0 returns a charge of `window`.
    """

    incarnation: str
    number: int
    tenant: str
    amount: float
    window: int


class ChargeResult(Message, tag="charge-result", frozen=True):
    """The verdict, its seconds and the number of the window that was charged: `registry.quota_counter.CountResult`."""

    incarnation: str
    number: int
    verdict: int
    seconds: float
    window: int
