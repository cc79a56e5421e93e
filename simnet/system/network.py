"""Connections and datagrams between simulated processes: in order, late where a partition lasts, or lost.

A connection is opened by one process to another and lasts until either ends, or until a partition has silenced it; what
was in flight on it is lost then. Each message passes through the codec, as on a real connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from simnet.clock import Clock
from simnet.system.process import Process, ProcessScheduler
from simnet.system.topology import CORES, MACHINES, one_way_delay
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import AnyMessage, Hello

SILENCE_S = 1.5  # of a partition, after which a connection is ended
DATAGRAM_LOSS = 0.02  # the share of datagrams that are lost
JITTER = 0.3  # by which a message takes longer at most, as a part of the usual delay


class Connection(NamedTuple):
    """A connection as its listener knows it: the process that opened it, and its number."""

    opener: str
    number: int


def listeners_of(process: Process) -> list[str]:
    """Return the names of the processes that a process keeps connections to."""
    if process.kind == "control":
        return [f"control@{m}" for m in CORES if m != process.machine]
    registries = [f"registry@{m}" for m in CORES if m != process.machine]
    return [f"control@{m}" for m in CORES] + registries


class Network:
    """All connections of the system. `processes` is filled as processes are made."""

    def __init__(self, clock: Clock, rng: random.Random, scheduler: ProcessScheduler) -> None:
        self.processes: dict[str, Process] = {}
        self.partitions: dict[tuple[str, str], float] = {}  # (sender, receiver) machines -> until when
        self._clock = clock
        self._rng = rng
        self._scheduler = scheduler
        self._connection_count = 0
        self._clients: dict[tuple[str, str], Connection] = {}  # (listener, client's name) -> its connection
        self._last_arrival: dict[tuple[str, str], float] = {}

    def partition(self, sender: str, receiver: str, duration_s: float) -> None:
        """Keep messages from one machine to another back for a while."""
        self.partitions[sender, receiver] = self._clock.now + duration_s

    def _partitioned_until(self, sender: str, receiver: str) -> float:
        return self.partitions.get((sender, receiver), 0.0)

    # Connections.

    def connect_missing(self, process: Process) -> None:
        """Open the connections that a process lacks, and end those that a partition has silenced."""
        for name in listeners_of(process):
            listener = self.processes[name]
            until = max(
                self._partitioned_until(process.machine, listener.machine),
                self._partitioned_until(listener.machine, process.machine),
            )
            if name in process.connections:
                if until > self._clock.now + SILENCE_S:
                    self._disconnect(process, listener)
            elif listener.running and until <= self._clock.now:
                self._connect(process, name)

    def _connect(self, process: Process, listener: str) -> None:
        self._connection_count += 1
        process.connections[listener] = self._connection_count
        if process.kind == "control":
            self.send(process, listener, Hello(process.machine))
        process.connected(listener)

    def disconnect_all(self, process: Process) -> None:
        """End all connections from and to a process that has ended."""
        for other in self.processes.values():
            self._disconnect(other, process)
            self._disconnect(process, other)

    def _disconnect(self, opener: Process, listener: Process) -> None:
        number = opener.connections.pop(listener.name, None)
        if number is None:
            return
        for (at, client), connection in list(self._clients.items()):
            if at == listener.name and connection.number == number:
                del self._clients[at, client]
                if listener.running:
                    listener.disconnected(client)

    # Messages.

    def send(self, process: Process, listener: str, message: AnyMessage) -> None:
        """Send a message on the connection that `process` has opened to a listener, if it stands."""
        number = process.connections.get(listener)
        if number is None:
            return
        receiver = self.processes[listener]
        data = encode(message)
        client = process.client_name

        def arrive() -> None:
            if process.connections.get(listener) == number:
                self._clients[listener, client] = Connection(process.name, number)
                receiver.receive(client, decode(data))

        self._deliver(process, receiver, arrive)

    def reply(self, process: Process, client: str, message: AnyMessage) -> None:
        """Send a message back on the connection of a client that is known by its name."""
        connection = self._clients.get((process.name, client))
        if connection is None:
            return
        receiver = self.processes[connection.opener]
        data = encode(message)

        def arrive() -> None:
            if receiver.connections.get(process.name) == connection.number:
                receiver.receive_reply(process.name, decode(data))

        self._deliver(process, receiver, arrive)

    def send_datagram(self, process: Process, address: str, message: AnyMessage) -> None:
        """Send a datagram to the proxy of a machine; it may be lost."""
        receiver = self.processes[f"proxy@{address}"]
        data = encode(message)
        lost = self._rng.random() <= DATAGRAM_LOSS
        if not lost and self._partitioned_until(process.machine, address) <= self._clock.now:
            self._deliver(process, receiver, lambda: receiver.receive_datagram(process.machine, decode(data)))

    def _deliver(self, sender: Process, receiver: Process, arrive: Callable[[], None]) -> None:
        """Have a message arrive after those before it, and not while a partition lasts."""
        now = self._clock.now
        delay = one_way_delay(MACHINES[sender.machine].zone, MACHINES[receiver.machine].zone)
        due = now + delay * (1 + JITTER * self._rng.random())
        until = self._partitioned_until(sender.machine, receiver.machine)
        if until > now:
            due = until + due - now  # the connection may have ended by then
        due = max(due, self._last_arrival.get((sender.name, receiver.name), 0.0))
        self._last_arrival[sender.name, receiver.name] = due
        self._scheduler.later(receiver, due - now, arrive)
