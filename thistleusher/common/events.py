"""The catalogue of log events. `render_table` generates docs/events.md from it.

A log line is an event's number followed by its text. Numbers are never reused for another event. Numbers 100 to 199
belong to all processes, 200 to 299 to control processes, 300 to 399 to registries and 400 to 499 to proxies.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from absl import logging

from thistleusher.log.standard_streams import DROPPED_NUMBER, DROPPED_TEXT

NO_ACTION = "none"


class Entry(NamedTuple):
    """One event: number, level ('info', 'warning', 'error'), text with fields, meaning, and the operator's action."""

    number: int
    level: str
    text: str
    meaning: str
    action: str = NO_ACTION


class Event(Enum):
    """All events that the three programs log."""

    # Any process.
    STARTED = Entry(100, "info", "%s serves as %s", "The process has read its settings and is running.")
    STOPPING = Entry(
        101,
        "info",
        "%s shuts down: %s",
        "The process has received SIGTERM or SIGINT and shuts down gracefully.",
        "None if it was planned; otherwise find out which user or process sent the signal.",
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
        "The changed settings file is unreadable or invalid; the process keeps its previous settings.",
        "Correct the reported errors; the file is read again within a second, or on SIGHUP.",
    )
    PORT_IN_USE = Entry(
        105,
        "warning",
        "waiting for an address that is in use: %s",
        "Another process, perhaps an earlier one of this program, still holds a port; it is tried again for 10 s.",
        "If the process then ends with exit code 1, find out which process holds the port.",
    )
    LOG_LINES_DROPPED = Entry(
        DROPPED_NUMBER,
        "warning",
        DROPPED_TEXT,
        "Standard error was full or had no reader; written before the next line that is taken.",
        "Look at what reads the log: the process does not wait for it.",
    )
    THREAD_UNAVAILABLE = Entry(
        107,
        "warning",
        "no thread for %s: %s",
        "The system refuses this process a thread that it cannot do without; it tries again four times a second.",
        "Raise the limit on processes and threads, or find out which process has used it up.",
    )
    FAULT = Entry(
        120,
        "error",
        "internal error in %s: %s",
        "Unexpected exception. Only the named call, message or timer tick is lost; the process continues.",
        "Report it with the surrounding log lines. Restart the process if it recurs.",
    )
    MESSAGE_REJECTED = Entry(
        121,
        "warning",
        "message from %s rejected: %s",
        "A peer sent malformed bytes or a message that this process does not accept; the connection was closed.",
        "Compare the releases of both processes; check whether another program connects to the port.",
    )
    # Control.
    CLUSTER_FOUNDED = Entry(
        200,
        "info",
        "cluster founded with %s",
        "The voters have recorded the first view; the cluster now exists.",
        "None at the first start. At any other time the control state was lost: check the configuration.",
    )
    LEADERSHIP_GAINED = Entry(
        201, "info", "leader of epoch %d, replicas %s", "This control process was elected and now leads."
    )
    LEADERSHIP_LOST = Entry(
        202,
        "warning",
        "epoch %d: leadership lost: %s",
        "This control process has stepped down, for the reason given; another one takes over.",
        "None if 201 follows on some machine within seconds; otherwise check that a majority of voters is reachable.",
    )
    VIEW_ADOPTED = Entry(
        203, "info", "epoch %d: leader %s, replicas %s, voters %s", "This process has adopted a newer cluster view."
    )
    CANDIDACY_STARTED = Entry(
        204,
        "info",
        "candidate for epoch %d: %s",
        "This process asks the voters to elect it, for the reason given.",
        "None, unless candidacies repeat without 201: then check that a majority of voters is running and reachable.",
    )
    FOUNDING_WAITS = Entry(
        205,
        "warning",
        "the system is not founded yet: not heard from %s",
        "This founder has been up for seconds, and no majority of the seeds of the first start has agreed on an epoch.",
        "Start the named machines with their disks. If a majority of the seeds has lost them: docs/founding.md.",
    )
    STATE_LOST = Entry(
        206,
        "warning",
        "this machine has no state and may not vote; status received from %s",
        "Its disk was empty or unreadable, and it was not started as a founder. It waits for the status of the voters.",
        "Start the other core machines. If a majority of them logs this line, nothing ends it: docs/founding.md.",
    )
    CHANGE_COMMITTED = Entry(
        210,
        "info",
        "change %d committed by the leader and all replicas: %s",
        "A change of the control state is durable: the leader and all replicas have stored it.",
    )
    CONFIGURATION_REJECTED = Entry(
        211,
        "info",
        "configuration rejected: %s",
        "Reserved: this release reports a rejected configuration to the operator only and does not log it.",
    )
    CHANGE_WITHOUT_EFFECT = Entry(
        212,
        "info",
        "acknowledged without effect: %s",
        "An acknowledged order repeats the state in effect or is older than it; nothing has changed.",
    )
    DISK_FAILED = Entry(
        220,
        "warning",
        "disk error: %s",
        "The control state on this machine's disk could not be read or written.",
        "Check the disk (space, errors). A process that lost its records recovers them from the other voters.",
    )
    # Registry.
    ROLE_ACQUIRED = Entry(
        300,
        "info",
        "singleton role acquired, term %s",
        "This registry holds the lease: it publishes the backend list and counts the tenants' quotas.",
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
        "platform call failed: %s",
        "A call to the platform failed or its response could not be parsed; the last complete list stays in effect.",
        "If it persists, check the platform's API and the route to it: until then new backends are not detected.",
    )
    BACKEND_DRAINING = Entry(
        312, "info", "list %d: %s drains", "The platform reports this backend as draining; this list publishes it."
    )
    LIST_OVERDUE = Entry(
        313,
        "warning",
        "the platform's list was last read completely %s s ago",
        "Changes at the platform, including drains, have not been detected since; logged repeatedly while this lasts.",
        "Look for earlier 311 and 120; if the platform answers other clients, restart this registry.",
    )
    SUBSCRIBER_LAGS = Entry(
        314,
        "warning",
        "%s has acknowledged list %d, not %d, for %s s",
        "A connected subscriber acknowledges no newer list; logged at growing intervals while this lasts.",
        "Check 401 and 120 in that process's log; restart it if it does not catch up.",
    )
    # Proxy.
    CONFIGURATION_APPLIED = Entry(
        400, "info", "configuration %s in effect, %d routes", "This proxy has applied a newer configuration."
    )
    BACKENDS_APPLIED = Entry(
        401, "info", "list %s: %d backends, %d proxies", "This proxy has applied a newer list of backends and proxies."
    )
    DRAINING_APPLIED = Entry(
        402,
        "info",
        "list %d: %s drains",
        "This proxy sends no further requests to this backend, as the list marks it as draining.",
    )
    LIMIT_REACHED = Entry(
        403,
        "info",
        "tenant %s: %d admitted by the counter, %d by this proxy's share, %d rejected in %s s",
        "The counter did not admit every request of this tenant; logged every 5 s, for at most twenty tenants.",
        "For a tenant that got more or less than its limit, add up these numbers over all proxies.",
    )
    CONFIGURATION_UNREADABLE = Entry(
        404,
        "error",
        "configuration %s cannot be read, configuration %s stays in effect (failure %d): %s",
        "A control process acknowledged a configuration that this proxy cannot read; it was requested again once.",
        "Compare the releases of control and proxy; send the configuration without the named field.",
    )
    BODIES_REJECTED = Entry(
        405,
        "warning",
        "memory for bodies: %d of %d MB held, %d bodies wait, %d were rejected in %s s",
        "Requests could not be read as the memory for bodies was in use; they were answered 503 and have not run.",
        "Add proxies, or raise limits.mem_mb, if it recurs; look for clients that upload or do not read large bodies.",
    )
    ANSWERS_INVALID = Entry(
        406,
        "warning",
        "backend %s: %d answers cut off in %s s, the last one: %s",
        "A backend sent bytes that are no answer, or more of them than the named limit; the connections were closed.",
        "Look at what runs at the backend's address. Its requests may have run; they count as failed for its health.",
    )
    STATE_HANDED_OVER = Entry(
        430,
        "info",
        "state transferred to %s, which had %d and %d",
        "A proxy that this proxy monitors had fallen behind and was sent a copy of both states.",
        "If it recurs, check that the named proxy can reach the core machines.",
    )


_LOG = {"info": logging.info, "warning": logging.warning, "error": logging.error}


def log_event(event: Event, *fields: object) -> None:
    """Write one event to the log: `number text`."""
    entry = event.value
    _LOG[entry.level]("%d " + entry.text, entry.number, *fields)


def render_table() -> str:
    """Return the catalogue as a Markdown table, the content of docs/events.md."""
    head = "| number | level | event | text | meaning | action |\n| --- | --- | --- | --- | --- | --- |\n"
    return head + "".join(_row(event) for event in Event)


def _row(event: Event) -> str:
    entry = event.value
    cells = (str(entry.number), entry.level, event.name.lower(), entry.text, entry.meaning, entry.action)
    return f"| {' | '.join(cells)} |\n"
