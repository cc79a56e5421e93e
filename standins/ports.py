"""Ports of loopback for processes that start a moment later.

They are taken from below the range that the system gives to connections, so that no connection takes one between its
choice and its use; processes that run at the same time begin to look in different places.
"""

from __future__ import annotations

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000  # the system's own range begins at 32,768
SPREAD = 7_919  # between the first ports of processes with consecutive ids

_offsets = itertools.count(os.getpid() * SPREAD)


def unused_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that nothing uses now; a later call of this process returns another. Raises OSError for none."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket(socket.AF_INET, kind) as trial:
            try:
                trial.bind((HOST, port))
            except OSError:
                continue
        return port
    raise OSError(f"{HOST}: no unused port between {FIRST_PORT} and {FIRST_PORT + PORT_COUNT}")


def hold_ports(count: int, first: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[socket.socket]:
    """Bind sockets to ports of loopback, from `first` on where that is not 0. OSError names a port that is taken."""
    sockets = []
    for n in range(count):
        s = socket.socket(socket.AF_INET, kind)
        sockets.append(s)
        if kind is socket.SOCK_STREAM:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((HOST, first + n if first else 0))
        except OSError as error:
            raise OSError(f"{HOST}:{first + n}: {error.strerror}; choose others with --port") from error
    return sockets


def free_ports(count: int, first: int) -> list[int]:
    """Return unused ports, from `first` on where that is not 0. Raises OSError where one of those is taken."""
    if not first:
        return [unused_port() for _ in range(count)]
    sockets = hold_ports(count, first)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports
