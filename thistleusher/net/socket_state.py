"""What the kernel knows of a TCP socket that an event loop does not say, and TCP options."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

PEER_CLOSED = getattr(select, "POLLRDHUP", 0)  # of Linux alone; elsewhere the end is seen once nothing is unread


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes, or the end of the connection, have come that this process has not read yet."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side, or the connection has broken, even if bytes before it are unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | PEER_CLOSED)
    for _, events in poll.poll(0):
        if events & (PEER_CLOSED | select.POLLHUP | select.POLLERR):
            return True
        if events & select.POLLIN and unread_bytes(sock) == 0:  # readable without a byte: the end itself
            return True
    return False


def unread_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes have come that this process has not read; None if this kernel does not say."""
    return _queue_size(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged; 0 if this kernel does not say."""
    return _queue_size(sock, termios.TIOCOUTQ) or 0


def _queue_size(sock: socket.socket, request: int) -> int | None:
    try:
        size = fcntl.ioctl(sock.fileno(), request, b"\0" * 4)
    except (OSError, ValueError):
        return None
    return int(struct.unpack("i", size)[0])


def enable_dead_peer_detection(sock: socket.socket, timeout_s: float) -> None:
    """Have the kernel end a connection whose peer has acknowledged nothing for that long, also an idle one."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(timeout_s * 1000)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(timeout_s)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
