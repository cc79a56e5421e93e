"""Selects loopback ports for processes that start shortly afterwards.

The ports lie below the operating system's ephemeral range, so that no outgoing connection takes a port between its
selection and its use. Processes that run at the same time start their search at different ports.
"""

from __future__ import annotations

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000  # the ephemeral range of the operating system starts at 32,768
PROCESS_STRIDE = 7_919  # distance between the first ports of processes with consecutive ids

_offsets = itertools.count(os.getpid() * PROCESS_STRIDE)


def unused_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return an unused port, a different one for each call in this process. Raises OSError if there is none."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket(socket.AF_INET, kind) as trial:
            try:
                trial.bind((HOST, port))
            except OSError:
                continue
        return port
    raise OSError(f"{HOST}: no unused port between {FIRST_PORT} and {FIRST_PORT + PORT_COUNT}")


def bind_ports(count: int, first: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[socket.socket]:
    """Bind sockets to loopback ports, starting at `first` unless it is 0. Raises OSError that names a used port."""
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
    """Return unused ports, starting at `first` unless it is 0. Raises OSError if one of them is in use."""
    if not first:
        return [unused_port() for _ in range(count)]
    sockets = bind_ports(count, first)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports
