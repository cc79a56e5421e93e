"""Messages between proxies and the registry: heartbeats, and the counter service's charges."""

from __future__ import annotations

from thistleusher.transport.messages.base import Message


class ProxyHeartbeat(Message, tag="presence", frozen=True):
    """A proxy's short heartbeat.

    `sent`: send time on the proxy's clock. `echo`: the newest echo that the proxy has received, as (counter's name,
    send time on the registry's clock), or None.
    """

    incarnation: str
    sent: float
    echo: tuple[str, float] | None


class ProxyStatusReport(Message, tag="presence-report", frozen=True):
    """A proxy's full heartbeat.

    In addition to the short one, it states whether the proxy is ready, which of the peers that it watches are silent,
    and the `attributes` published in the list (`front`, `ip`, `zone`, `region`).
    """

    incarnation: str
    sent: float
    echo: tuple[str, float] | None
    ready: bool
    silent_peers: tuple[str, ...]
    attributes: dict[str, str]


class HeartbeatEcho(Message, tag="echo", frozen=True):
    """The registry's reply to a heartbeat.

    `counter_name`: see `common.incarnations.counter_name`; in release 0.2 the registry's name. `sent`: the
    heartbeat's value, on the proxy's clock. `registry_time`: send time on the registry's clock. `share`: the fraction
    of each rate limit that the proxy may grant by itself while it is out of contact with the registry.
    """

    counter_name: str
    sent: float
    registry_time: float
    share: float


class Charge(Message, tag="charge", frozen=True):
    """Charge a tenant's global count.

    `incarnation` and `number` identify the charge: they match an answer to its request, and a charge that arrives twice
    counts once. A negative `amount` refunds a charge of `window`.
    """

    incarnation: str
    number: int
    tenant: str
    amount: float
    window: int


class ChargeResult(Message, tag="charge-result", frozen=True):
    """The result of a charge; `verdict`, `seconds` and `window` are those of `registry.quota_counter.CountResult`."""

    incarnation: str
    number: int
    verdict: int
    seconds: float
    window: int


class AdmissionReport(Message, tag="admission-report", frozen=True):
    """The requests that a proxy admitted before it received the first echo of a new counter.

    The report is complete for the last `covered_s` seconds, except for what is older than a span of the quota rule.
    `admitted` holds (minimum age in seconds, number of requests) for each tenant.
    """

    incarnation: str
    counter: str
    covered_s: float
    admitted: dict[str, list[tuple[float, int]]]


class AdmissionReportAck(Message, tag="admission-report-ack", frozen=True):
    """The named counter has processed the receiver's report."""

    counter: str
