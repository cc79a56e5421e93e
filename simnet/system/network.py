"""Connections and datagrams between simulated processes.

A connection delivers messages in order. A partition delays them until it ends. The connection lasts until one of its
two processes ends, or until a partition exceeds `MAX_PARTITION_S`; messages in flight are then lost. Each message is
encoded and decoded by the codec, as on a real connection. Datagrams may be lost.
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

MAX_PARTITION_S = 1.5  # a connection is closed if it stays partitioned for longer than this
DATAGRAM_LOSS = 0.02  # fraction of datagrams that are lost
JITTER = 0.3  # maximum extra delay of a message, as a fraction of the one-way delay


class Connection(NamedTuple):
    """A connection, as its listener records it: the process that opened it, and its number."""

    opener: str
    number: int


def listeners_of(process: Process) -> list[str]:
    """Return the names of the processes to which a process maintains connections."""
    if process.kind == "control":
        return [f"control@{m}" for m in CORES if m != process.machine]
    registries = [f"registry@{m}" for m in CORES if m != process.machine]
    return [f"control@{m}" for m in CORES] + registries


class Network:
    """All connections of the system. The world adds each process to `processes` when it creates it."""

    def __init__(self, clock: Clock, rng: random.Random, scheduler: ProcessScheduler) -> None:
        self.processes: dict[str, Process] = {}
        self.partitions: dict[tuple[str, str], float] = {}  # (sender, receiver) machines -> end of the partition
        self._clock = clock
        self._rng = rng
        self._scheduler = scheduler
        self._connection_count = 0
        self._clients: dict[tuple[str, str], Connection] = {}  # (listener, client name) -> the client's connection
        self._last_arrival: dict[tuple[str, str], float] = {}

    def partition(self, sender: str, receiver: str, duration_s: float) -> None:
        """Partition one machine from another, in one direction, for `duration_s` seconds."""
        self.partitions[sender, receiver] = self._clock.now + duration_s

    def _partitioned_until(self, sender: str, receiver: str) -> float:
        return self.partitions.get((sender, receiver), 0.0)

    # Connections.

    def connect_missing(self, process: Process) -> None:
        """Open the missing connections of a process, and close those that are partitioned for too long."""
        for name in listeners_of(process):
            listener = self.processes[name]
            until = max(
                self._partitioned_until(process.machine, listener.machine),
                self._partitioned_until(listener.machine, process.machine),
            )
            if name in process.connections:
                if until > self._clock.now + MAX_PARTITION_S:
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
        """Close all connections from and to a process that has ended."""
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
        """Send a message on the connection that `process` opened to a listener; drop it if there is none."""
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
        """Send a message to a client, on the connection that the client opened; drop it if there is none."""
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
        """Send a datagram to the proxy of a machine. It is lost at random, and during a partition."""
        receiver = self.processes[f"proxy@{address}"]
        data = encode(message)
        lost = self._rng.random() <= DATAGRAM_LOSS
        if not lost and self._partitioned_until(process.machine, address) <= self._clock.now:
            self._deliver(process, receiver, lambda: receiver.receive_datagram(process.machine, decode(data)))

    def _deliver(self, sender: Process, receiver: Process, arrive: Callable[[], None]) -> None:
        """Schedule a message to arrive after all earlier ones of the same pair, and after any partition."""
        now = self._clock.now
        delay = one_way_delay(MACHINES[sender.machine].zone, MACHINES[receiver.machine].zone)
        due = now + delay * (1 + JITTER * self._rng.random())
        until = self._partitioned_until(sender.machine, receiver.machine)
        if until > now:
            due = until + due - now  # the connection may be closed by then, which loses the message
        due = max(due, self._last_arrival.get((sender.name, receiver.name), 0.0))
        self._last_arrival[sender.name, receiver.name] = due
        self._scheduler.later(receiver, due - now, arrive)
