"""State of TCP sockets that the kernel has but event loops do not expose, and TCP options."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

PEER_CLOSED = getattr(select, "POLLRDHUP", 0)  # Linux only; elsewhere a FIN is seen only if no bytes are unread


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether received bytes, or the end of the connection, have not been read by this process yet."""
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
        if events & select.POLLIN and unread_bytes(sock) == 0:  # readable without bytes: end of the connection
            return True
    return False


def unread_bytes(sock: socket.socket) -> int | None:
    """Return the number of received bytes that are not read yet; None if the kernel does not report it."""
    return _queue_size(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of written bytes that the peer has not acknowledged; 0 if the kernel does not report it."""
    return _queue_size(sock, termios.TIOCOUTQ) or 0


def _queue_size(sock: socket.socket, request: int) -> int | None:
    try:
        size = fcntl.ioctl(sock.fileno(), request, b"\0" * 4)
    except (OSError, ValueError):
        return None
    return int(struct.unpack("i", size)[0])


def enable_dead_peer_detection(sock: socket.socket, timeout_s: float) -> None:
    """Make the kernel end a connection, even an idle one, whose peer acknowledges nothing for `timeout_s`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(timeout_s * 1000)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(timeout_s)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
