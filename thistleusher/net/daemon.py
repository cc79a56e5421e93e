"""The daemon: one ingress on real sockets, from start-up to the end of its shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from thistleusher.assembly import make_gateway
from thistleusher.core.events import BackendEntry, Phase
from thistleusher.core.ports import Scheduler
from thistleusher.net.backend_list import BackendList, ListedBackend
from thistleusher.net.body_memory import UPDATE_INTERVAL_S, BodyMemory
from thistleusher.net.config import Config
from thistleusher.net.connection_limits import connections_in_memory
from thistleusher.net.connection_pool import Endpoint
from thistleusher.net.discovery import DiscoveryClient
from thistleusher.net.ingress import Ingress
from thistleusher.net.ingress_server import IngressServer
from thistleusher.net.shutdown import GracefulShutdown
from thistleusher.net.upstream import Upstream
from thistleusher.quota.placement import Placement
from thistleusher.services.counter_client import CounterClient
from thistleusher.services.counter_group import CounterGroup
from thistleusher.services.peers import PeerDatagrams

if TYPE_CHECKING:  # imported only if a state folder is given
    from thistleusher.state.records import EndpointListRecord, EndpointRecord
    from thistleusher.state.snapshotter import Snapshotter

log = logging.getLogger("thistleusher")

SHUTDOWN_FLUSH_MAX_S = 0.05  # upper limit of the wait for the counter to process the last calls, at shutdown
RESERVED_SOCKETS = 64  # descriptors reserved for other uses than client and backend connections
MIN_SOCKETS = 16  # lower limit for client connections, and for backend connections, whatever `limits.sockets` says
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Daemon:
    """The service run by `python -m thistleusher`. `clock` gives Unix time in seconds, the same at all ingresses."""

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float] = time.time,
        scheduler: Scheduler | None = None,
        placement: Placement | None = None,
        snapshotter: Snapshotter | None = None,
    ) -> None:
        """`placement`: several counters that replace the configuration's one; `snapshotter`: keeps a state folder."""
        loop = asyncio.get_running_loop()
        settings = config.settings
        self.config = config
        self.loop = loop
        self.clock = clock
        self.placement = placement
        self.snapshotter = snapshotter
        max_sockets = max(MIN_SOCKETS, (config.max_sockets - RESERVED_SOCKETS) // 2)
        connect_timeout = settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_S
        self.upstream = Upstream(loop, connect_timeout, config.backend_idle_s, max_sockets)
        self.gateway = make_gateway(settings, config.seed, clock(), placement)
        self.ingress = Ingress(loop, settings, self.gateway, self.upstream, config.load_fields, clock, scheduler)
        max_clients = max(MIN_SOCKETS, min(max_sockets, connections_in_memory(config.memory_mb)))
        self.server = IngressServer(loop, self.ingress, max_clients)
        self.body_memory = BodyMemory(config.memory_mb, max_clients)
        self.server.budget = self.body_memory.budget
        self.memory_timer = loop.call_soon(self._update_memory)
        self.discovery: DiscoveryClient | None = None
        self.list_version = config.known.version if config.known else 0
        self.counter: CounterClient | CounterGroup | None = None
        self.peers: PeerDatagrams | None = None

    # Start.

    async def start(self) -> None:
        """Open all sockets, the clients' listener last. Raises OSError if an address cannot be bound."""
        config = self.config
        if self.snapshotter is not None:
            self.snapshotter.current_endpoints = self.endpoint_records
            self.snapshotter.start(self.gateway, self.clock, self.loop)
        self._connect_counter()
        await self._open_peers()
        self._load_initial_list()
        version = config.known.version if config.known else 0
        self.discovery = DiscoveryClient(self.loop, config.discovery, version, self.update_backends)
        await self.server.listen(*config.listen)
        log.info("%s serves on %s:%d", config.name, *config.listen)
        gc.freeze()  # objects made during start-up live as long as the process; later collections skip them

    def _connect_counter(self) -> None:
        config = self.config
        driver = self.ingress.driver
        timeout = config.settings.counter_timeout
        submit = self.ingress.submit
        if self.placement is not None:
            group = CounterGroup(self.loop, self.placement, timeout, submit, driver.scheduler.time)
            driver.counter = self.counter = group
        elif config.counter is not None and config.settings.counter:
            client = CounterClient(self.loop, config.counter, timeout, submit, driver.scheduler.time)
            driver.counter = self.counter = client

    async def _open_peers(self) -> None:
        config = self.config
        if config.peer_listen is not None and config.settings.peers:
            peers = PeerDatagrams(config.peers, config.peers_all, config.settings.me, self.ingress.submit)
            await self.loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
            self.ingress.driver.peers = self.peers = peers

    def _load_initial_list(self) -> None:
        """Load the saved endpoint list or the configuration's, whichever has the higher version."""
        saved = self.snapshotter.endpoint_list if self.snapshotter is not None else None
        known = self.config.known
        if saved is not None and (known is None or saved.version > known.version):
            self.ingress.update_backends(backend_list_of(saved), saved=True)
        elif known is not None:
            self.ingress.update_backends(known, saved=True)

    # While serving.

    def _update_memory(self) -> None:
        """Size the budget for requests by what the process takes otherwise."""
        self.body_memory.update(self.loop.time())
        self.memory_timer = self.loop.call_later(UPDATE_INTERVAL_S, self._update_memory)

    def update_backends(self, backends: BackendList) -> None:
        """Apply a list from discovery, and keep its version for the saved list."""
        self.ingress.update_backends(backends)
        self.list_version = backends.version

    def endpoint_records(self) -> tuple[int, tuple[EndpointRecord, ...]]:
        """Return the version and the entries of the current endpoint list, to be saved."""
        from thistleusher.state.records import EndpointRecord

        pools = self.upstream.pools
        entries = [b.entry for b in self.gateway.fleet.backends.values() if b.entry.backend in pools]
        records = (
            EndpointRecord(
                entry.backend,
                entry.phase.value,
                entry.weight,
                entry.kind,
                entry.cell,
                entry.born,
                entry.zone,
                *pools[entry.backend].endpoint.address,
            )
            for entry in entries
        )
        return self.list_version, tuple(records)

    def reload(self, config: Config, placement: Placement | None = None) -> None:
        """Apply changed addresses of discovery and counters. All other changes need a restart."""
        if self.discovery is not None:
            self.discovery.move(config.discovery)
        if isinstance(self.counter, CounterClient) and config.counter is not None:
            self.counter.move(config.counter)
        elif isinstance(self.counter, CounterGroup) and placement is not None:
            self.gateway.counters.set_placement(placement)
            self.counter.place(placement)
        log.info("%s has reloaded its configuration", self.config.name)

    # Shutdown.

    async def stop(self, notice: Awaitable[object]) -> None:
        """Serve until `notice` is done and requests stop arriving, finish pending requests, then close all sockets."""
        log.info("%s is shutting down: %d requests in flight", self.config.name, len(self.ingress.in_flight))
        longest_s = max(c.deadline for c in self.config.settings.classes)
        await self.server.drain(notice, GracefulShutdown(self.loop.time(), longest_s))
        self.ingress.driver.flush_on_shutdown()
        await asyncio.sleep(min(SHUTDOWN_FLUSH_MAX_S, self.config.settings.counter_timeout / 2))
        self.ingress.driver.flush_on_shutdown()  # repeated, since the first datagram may be lost or arrive out of order
        self.close()
        log.info("%s has stopped", self.config.name)

    def close(self) -> None:
        """Close all sockets at once. Pending requests get no response."""
        self.memory_timer.cancel()
        self.server.close()
        if self.discovery is not None:
            self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        if self.peers is not None:
            self.peers.close()
        self.upstream.close()
        if self.snapshotter is not None:
            self.snapshotter.close()


def backend_list_of(saved: EndpointListRecord) -> BackendList:
    """Return a saved endpoint list in the form in which discovery sends it."""
    entries = (
        ListedBackend(
            BackendEntry(p.name, Phase(p.phase), p.weight, p.kind, p.cell, p.born, p.zone),
            Endpoint((p.host, p.port), p.born),
        )
        for p in saved.endpoints
    )
    return BackendList(saved.version, True, tuple(entries))
