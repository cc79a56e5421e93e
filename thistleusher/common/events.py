"""The catalogue of log events. docs/events.md is made from it by `page`.

A line of the log is an event's number followed by its text. Numbers are never used again for something else:
100 to 199 are written by any process, 200 to 299 by control, 300 to 399 by the registry, 400 to 499 by the proxy.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from absl import logging

NO_ACTION = "none"


class Entry(NamedTuple):
    """One event: number, level ('info', 'warning', 'error'), text with its fields, meaning, what the on-call does."""

    number: int
    level: str
    text: str
    meaning: str
    action: str = NO_ACTION


class Event(Enum):
    """Every event that the three programs log."""

    # Any process.
    STARTED = Entry(100, "info", "%s serves as %s", "The process has read its settings and is running.")
    STOPPING = Entry(
        101,
        "info",
        "%s shuts down: %s",
        "A signal has begun a graceful shutdown.",
        "None if it was planned; otherwise find out who sent the signal.",
    )
    STOPPED = Entry(
        102, "info", "%s has shut down", "The graceful shutdown is complete; the process exits with code 0."
    )
    SETTINGS_RELOADED = Entry(
        103,
        "info",
        "settings reloaded: seeds %s",
        "The settings file has changed and the new settings are in effect.",
    )
    SETTINGS_REJECTED = Entry(
        104,
        "warning",
        "settings rejected: %s",
        "The changed settings file is unreadable or invalid; the process goes on with the settings it had.",
        "Correct the file as the text says; it is read again within a second, or on SIGHUP.",
    )
    FAULT = Entry(
        120,
        "error",
        "fault in %s: %s",
        "A fault of the program. Only the call, message or tick named is lost; the process goes on.",
        "Report it with the log around it. Restart the process if it comes again and again.",
    )
    MESSAGE_REJECTED = Entry(
        121,
        "warning",
        "message of %s rejected: %s",
        "A peer sent bytes that are no message, or a message that is not accepted here; its connection was closed.",
        "Compare both sides' releases; look for a stranger on the port.",
    )
    # Control.
    CLUSTER_FOUNDED = Entry(
        200,
        "info",
        "cluster founded with %s",
        "The first view is recorded by its voters: the cluster exists.",
        "None at the first start; at any other time the control state was lost: compare the configuration.",
    )
    LEADERSHIP_GAINED = Entry(
        201, "info", "leader of epoch %d, replicas %s", "This control process was elected and now leads."
    )
    LEADERSHIP_LOST = Entry(
        202,
        "warning",
        "epoch %d: leader no longer: %s",
        "This control process has stepped down, for the reason given; another one takes over.",
        "None if 201 follows on some machine within seconds; otherwise check that a majority of voters is reachable.",
    )
    VIEW_ADOPTED = Entry(
        203, "info", "epoch %d: leader %s, replicas %s, voters %s", "This process knows a newer view of the cluster."
    )
    CANDIDACY_STARTED = Entry(
        204,
        "info",
        "candidate for epoch %d: %s",
        "This process asks the voters to elect it, for the reason given.",
        "None, unless candidacies repeat without 201: then a majority is missing or cannot be reached.",
    )
    CHANGE_COMMITTED = Entry(
        210,
        "info",
        "change %d committed by the leader and all replicas: %s",
        "A change of the control state is durable.",
    )
    CONFIGURATION_REJECTED = Entry(
        211,
        "info",
        "configuration rejected: %s",
        "Reserved: this release answers the operator and does not log a configuration that it rejects.",
    )
    CHANGE_WITHOUT_EFFECT = Entry(
        212,
        "info",
        "acknowledged without effect: %s",
        "An order was acknowledged that repeats or is older than what is in effect; nothing has changed.",
    )
    DISK_FAILED = Entry(
        220,
        "warning",
        "disk: %s",
        "The control state on this machine's disk could not be read or written.",
        "Check the disk (space, errors). A process that lost its records recovers them from the other voters.",
    )
    # Registry.
    ROLE_ACQUIRED = Entry(
        300,
        "info",
        "singleton role acquired, term %s",
        "This registry holds the lease: it lists backends, and counts for the quotas.",
    )
    ROLE_LOST = Entry(
        301,
        "info",
        "singleton role lost: %s",
        "This registry no longer holds the lease; another one acquires it (300).",
        "None if 300 follows on some machine within seconds; otherwise check that a majority of voters is reachable.",
    )
    BACKENDS_LISTED = Entry(
        310,
        "info",
        "list %d: %d backends, %d draining",
        "The platform's list of backends has changed and was published.",
    )
    PLATFORM_FAILED = Entry(
        311,
        "warning",
        "platform: %s",
        "A call to the platform failed, or its answer could not be read; the last complete list stays in effect.",
        "If it persists, check the platform's API and the route to it: new backends are not seen meanwhile.",
    )
    BACKEND_DRAINING = Entry(
        312, "info", "list %d: %s drains", "The platform's list shows this backend as draining; published by this list."
    )
    LIST_OVERDUE = Entry(
        313,
        "warning",
        "the platform's list was last read whole %s s ago",
        "Changes at the platform, drains among them, have not been seen since; said again while it lasts.",
        "Look for 311 and 120 before it; if the platform answers others, restart this registry.",
    )
    SUBSCRIBER_LAGS = Entry(
        314,
        "warning",
        "%s has acknowledged list %d, not %d, for %s s",
        "A subscriber whose connection is open makes no progress; said again, less and less often, while it lasts.",
        "Compare 401 and 120 in that process's log; restart it if it does not catch up.",
    )
    # Proxy.
    CONFIGURATION_APPLIED = Entry(
        400, "info", "configuration %s in effect, %d routes", "This proxy goes by a newer configuration."
    )
    BACKENDS_APPLIED = Entry(
        401, "info", "list %s: %d backends, %d ingresses", "This proxy goes by a newer list of backends and ingresses."
    )
    DRAINING_APPLIED = Entry(
        402,
        "info",
        "list %d: %s drains",
        "This proxy sends nothing more to this backend, as the list shows it as draining.",
    )
    LIMIT_REACHED = Entry(
        403,
        "info",
        "tenant %s: %d admitted by the count, %d by this proxy's share, %d rejected in %s s",
        "Not every request of this tenant was admitted by the counter; said each 5 s, for twenty tenants at most.",
        "For a tenant that got more or less than its limit, add these up over all proxies.",
    )
    STATE_HANDED_OVER = Entry(
        430,
        "info",
        "state handed over to %s, which had %d and %d",
        "A proxy that this one watches had fallen behind and was given a copy of both states.",
        "If it repeats, check that the proxy named reaches the core machines.",
    )


_LOG = {"info": logging.info, "warning": logging.warning, "error": logging.error}


def log_event(event: Event, *fields: object) -> None:
    """Write one event to the log: `number text`."""
    entry = event.value
    _LOG[entry.level]("%d " + entry.text, entry.number, *fields)


def page() -> str:
    """Return the catalogue as the table that docs/events.md holds."""
    head = "| number | level | event | text | meaning | action |\n| --- | --- | --- | --- | --- | --- |\n"
    return head + "".join(_row(event) for event in Event)


def _row(event: Event) -> str:
    entry = event.value
    cells = (str(entry.number), entry.level, event.name.lower(), entry.text, entry.meaning, entry.action)
    return f"| {' | '.join(cells)} |\n"
