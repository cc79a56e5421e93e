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
