"""What the kernel knows of a TCP socket that an event loop does not say, and TCP options."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes, or the end of the connection, have come that this process has not read yet."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged; 0 if this kernel does not say."""
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", size)[0])


def enable_dead_peer_detection(sock: socket.socket, timeout_s: float) -> None:
    """Have the kernel end a connection whose peer has acknowledged nothing for that long, also an idle one."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(timeout_s * 1000)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(timeout_s)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
