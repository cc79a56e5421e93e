"""How many connections a process may hold open, by its descriptors and its memory.

Each connection takes memory from the moment on at which it is accepted, whether a byte comes or not: `CONNECTION_BYTES`
for its objects, a head that is too small to be reserved, and the request at work.

Pure.
"""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.net.memory_budget import BYTES_PER_MB

CONNECTION_BYTES = 16 * 1024
MEMORY_SHARE = 0.15  # Fraction of a process's memory for the connections of its clients
RESERVED_DESCRIPTORS = 200  # Descriptors of the limit that are kept for files.
SPARE_DESCRIPTORS = 120  # Descriptors for links to other processes, listeners, and what the runtime opens.
MIN_CONNECTIONS = 32  # Lower bound of connections to clients and to backends each, however small the limits are.
MIN_CALL_CONNECTIONS = 8
# Fractions of the descriptors for sockets.
DIRECTORY_SHARE = 1 / 30
READINESS_SHARE = 1 / 120
HAND_OVER_SHARE = 1 / 120
SURPLUS_SHARE = 1 / 120
MAX_CALL_CONNECTIONS = 400
CALL_SHARE = 0.25  # Fraction of the descriptors of a machine of the core that operators' calls may take.


class ProxyConnections(NamedTuple):
    """The upper bounds of one proxy."""

    clients: int
    surplus: int  # Clients beyond them, each of which is answered that there are too many.
    backends: int
    directory: int
    readiness: int
    hand_overs: int


class CoreConnections(NamedTuple):
    """The upper bounds of one program of the core."""

    calls: int  # 0: it takes none
    links: int


def proxy_connections(descriptors: int, memory_mb: float) -> ProxyConnections:
    """Return the bounds of a proxy; `descriptors`: the limit of all that it opens, `memory_mb`: of its memory."""
    sockets = descriptors - RESERVED_DESCRIPTORS
    surplus, directory, readiness, hand_overs = (
        max(MIN_CALL_CONNECTIONS, int(sockets * share))
        for share in (SURPLUS_SHARE, DIRECTORY_SHARE, READINESS_SHARE, HAND_OVER_SHARE)
    )
    clients = max(MIN_CONNECTIONS, (sockets - SPARE_DESCRIPTORS) // 2)
    others = SPARE_DESCRIPTORS + clients + surplus + directory + readiness + hand_overs
    backends = max(MIN_CONNECTIONS, sockets - others)
    clients = max(MIN_CONNECTIONS, min(clients, connections_in_memory(memory_mb)))
    return ProxyConnections(clients, surplus, backends, directory, readiness, hand_overs)


def core_connections(descriptors: int, memory_mb: float, *, takes_calls: bool) -> CoreConnections:
    """Return the bounds of a program of the core; arguments as above."""
    sockets = max(2 * MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - SPARE_DESCRIPTORS)
    calls = min(MAX_CALL_CONNECTIONS, int(sockets * CALL_SHARE)) if takes_calls else 0
    links = max(MIN_CONNECTIONS, min(sockets - calls, connections_in_memory(memory_mb)))
    return CoreConnections(calls, links)


def connections_in_memory(memory_mb: float) -> int:
    """Return how many connections a process has memory for."""
    return int(memory_mb * BYTES_PER_MB * MEMORY_SHARE / CONNECTION_BYTES)
