"""Simulated backends and clients of a proxy, which draw their actions at random."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from tests.scripted_loop import Wire
from thistleusher.net.backend_connection import BackendConnection
from thistleusher.net.client_connection import ClientConnection

if TYPE_CHECKING:
    from tests.proxy.caller_world import World

REQUEST = re.compile(rb"X-Attempt-Id: (\S+)\r\n", re.IGNORECASE)
LENGTH = re.compile(rb"Content-Length: (\d+)\r\n", re.IGNORECASE)
NOT_RUN = ("full", "stranger")  # steps that do not execute the request
STATUSES = {"full": 503, "stranger": 421, "fails": 500, "claims": 503, "claims 429": 429, "gone": 404}


class SimClient(ClientConnection):
    """The server's side of a client connection, which checks the simulated wire in place of a socket."""

    def has_unread_bytes(self) -> bool:
        return bool(self.transport.unread)

    def has_client_left(self) -> bool:
        return self.disconnected or None in self.transport.unread

    def unacknowledged_bytes(self) -> int:
        return 0


class Run:
    """A request that a backend has begun: received completely, or its head, if backends begin at the head."""

    def __init__(self, name: bytes, wire: Wire | None = None) -> None:
        self.name = name
        self.wire = wire  # connection of the backend that received it
        self.ran = True
        self.answered = False  # whether its backend has sent the complete answer
        self.proven_not_run = False  # whether a complete answer has proved that it has not run

    def is_worked_on(self) -> bool:
        """Return whether its backend is processing it: the connection is open and the answer is incomplete."""
        return self.wire is not None and not (self.answered or self.wire.ended or self.wire.cut)


class Backend:
    """A backend's side of one connection, which draws a step for each request."""

    def __init__(self, world: World, name: str, connection: BackendConnection) -> None:
        self.world, self.name = world, name
        self.wire = Wire(world, connection, self.heard)
        self.buffer = b""
        self.body_due = 0  # bytes of a body that are still to come after its request has begun
        self.sending: list[tuple[bytes | None, Run | None]] = []  # (piece, request if the piece is its last one)
        self.previous_answer = b""  # sent again by the step "late surplus"
        self.steps = world.steps or world.draw_steps()
        if world.rng.random() < world.fault_rate * 0.1:
            world.later(self.cut)

    def cut(self) -> None:
        self.wire.deliver(None)

    def heard(self, data: bytes) -> None:
        self.buffer += data
        skipped = min(self.body_due, len(self.buffer))
        self.body_due -= skipped
        self.buffer = self.buffer[skipped:]
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        length = LENGTH.search(head + b"\r\n")
        size = int(length[1]) if length else 0
        if len(rest) < size and not self.world.backends_begin_at_head:
            return
        self.body_due = max(0, size - len(rest))
        self.buffer = rest[size:]
        marked = REQUEST.search(head + b"\r\n")
        assert marked is not None
        self.serve(self.world.record_run(marked[1], self.wire))

    def serve(self, run: Run) -> None:
        """Draw a step for a request and execute it."""
        world = self.world
        step = world.rng.choice(self.steps)
        run.ran = step not in NOT_RUN
        if step == "silent":
            return
        if step == "stops":
            self.wire.deliver(world.answer(run, self.name, 200, step)[:-1])
            return
        if step == "reset":
            world.later(self.cut)
            return
        answer = world.answer(run, self.name, STATUSES.get(step, 200), step)
        pieces = self.pieces(step, answer)
        idle = not self.sending
        self.sending += [(piece, None) for piece in pieces[:-1]]
        self.sending.append((pieces[-1], run))
        if step == "cut":
            self.sending.append((None, None))
        if idle:
            self.send()

    def pieces(self, step: str, answer: bytes) -> list[bytes]:
        """Return an answer in pieces of random lengths, with the changes that a faulty step makes to it."""
        previous, self.previous_answer = self.previous_answer, answer
        rng = self.world.rng
        cuts = sorted(rng.randrange(1, len(answer)) for _ in range(rng.choice((0, 0, 1, 3))))
        pieces = [answer[a:b] for a, b in zip([0, *cuts], [*cuts, len(answer)], strict=True)]
        extra = self.extra_before(step, previous)
        if extra:
            pieces.insert(0, extra)
        if step == "cut":
            pieces[-1] = pieces[-1][:-1]
        if step == "twice":
            pieces.append(answer)
        return pieces

    def extra_before(self, step: str, previous: bytes) -> bytes:
        """Return the bytes that a step sends before the answer."""
        if step == "late surplus":
            return previous
        if step == "nameless":
            return REQUEST.sub(b"", previous or self.world.strange_answer())
        if step == "nameless promise":
            return b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        if step == "strange":
            return self.world.strange_answer()
        return b"\x00\x01 no answer\r\n\r\n" if step == "noise" else b""

    def send(self) -> None:
        """Send the next piece; the proxy may receive several pieces in one read."""
        piece, run = self.sending[0]
        if run is not None:  # the answer is complete
            run.answered = True
            run.proven_not_run = not run.ran
        self.wire.deliver(piece)
        self.sending.pop(0)
        if self.sending:
            self.world.loop.call_later(self.world.rng.choice((0.0, 0.0, 0.01, 0.1, 0.6)), self.send)


class Client:
    """A client's side of one connection, with the answers received."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.connection = SimClient(world.server)
        self.wire = Wire(world, self.connection, self.heard)
        self.left_at: float | None = None  # time at which the client closed its connection
        self.asked: list[tuple[bytes, float]] = []  # (id, sending time); `p` ids are idempotent, `e` ids are not
        self.got = b""
        self.times: list[float] = []
        self.connection.connection_made(self.wire)

    def disconnect(self) -> None:
        """Close the connection; the client no longer waits for its requests."""
        if not self.wire.cut:
            self.left_at = self.world.loop.time()
            self.wire.deliver(None)

    def heard(self, data: bytes) -> None:
        assert not self.wire.eof, "bytes after the end"
        self.got += data
        self.times.append(self.world.loop.time())

    def ask(self, name: bytes, path: bytes, body: bytes | None = None) -> None:
        """Send a request, with a body of random length if it is None."""
        if body is None:
            body = b"b" * self.world.rng.choice((0, 5))
        data = (
            b"POST /%s/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1400\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (path, name, len(body), body)
        )
        cut = self.world.rng.randrange(len(data)) if self.world.rng.random() < 0.3 else 0
        self.wire.deliver(data[:cut])
        self.wire.deliver(data[cut:])
        self.asked.append((name, self.world.loop.time()))

    def answers(self) -> list[tuple[int, bytes, bytes]]:
        """Return status, head and body of each answer; a truncated last answer has status 0."""
        found, rest = [], self.got
        while rest:
            head, whole, rest = rest.partition(b"\r\n\r\n")
            length = LENGTH.search(head + b"\r\n")
            assert head.startswith(b"HTTP/1.1 "), head
            if not whole or length is None or len(rest) < int(length[1]):
                found.append((0, head, rest))
                break
            found.append((int(head[9:12]), head, rest[: int(length[1])]))
            rest = rest[int(length[1]) :]
        return found
