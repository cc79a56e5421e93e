"""Between proxies and the registry: heartbeats, and the counter service's charges."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class ProxyHeartbeat(Message, tag="presence", frozen=True):
    """A proxy's short heartbeat.

    `sent`: when, on the proxy's clock. `echo`: the newest echo that the proxy has received, as (counter, its time).
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

    `registry`: the counter's name, `common.incarnations.counter_name`; in release 0.2 its registry's alone. `sent` is
    the heartbeat's own, on the proxy's clock; `registry_time` is on the registry's clock; `share` is the part of each
    rate limit that the proxy may grant alone while it does not hear the registry.
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


class AdmissionReport(Message, tag="admission-report", frozen=True):
    """What a proxy admitted before the first echo of a new counter reached it.

    Complete for the last `covered_s` seconds, but for what is older than a span of the users' rule. `admitted` holds
    for each tenant how many seconds ago, at least, and how many requests.
    """

    incarnation: str
    counter: str
    covered_s: float
    admitted: dict[str, list[tuple[float, int]]]


class AdmissionReportAck(Message, tag="admission-report-ack", frozen=True):
    """The counter of a name has taken in the receiver's report."""

    counter: str
