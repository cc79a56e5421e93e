"""One ingress on real sockets, from its start to its orderly end."""

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
from thistleusher.net.config import Config
from thistleusher.net.discovery import Discovery, Listing
from thistleusher.net.ingress import Ingress
from thistleusher.net.server import IngressServer
from thistleusher.net.shutdown import GracefulShutdown
from thistleusher.net.upstream import Endpoint, Upstream
from thistleusher.quota.placement import Placement
from thistleusher.services.counter import Counter
from thistleusher.services.counters import Counters
from thistleusher.services.peers import Peers

if TYPE_CHECKING:  # imported only where a state folder is given
    from thistleusher.state.records import EndpointListRecord, EndpointRecord
    from thistleusher.state.snapshotter import Snapshotter

log = logging.getLogger("thistleusher")

LAST_WORDS_S = 0.05  # in which the counter takes in what was not in it yet
SOCKETS_SPARE = 64  # descriptors that are neither clients' nor backends'


class Daemon:
    """What `python -m thistleusher` runs. `clock` gives Unix time in seconds; it must agree at all ingresses."""

    def __init__(
        self,
        config: Config,
        clock: Callable[[], float] = time.time,
        scheduler: Scheduler | None = None,
        placement: Placement | None = None,
        keeper: Snapshotter | None = None,
    ) -> None:
        """`placement`: several counters in place of the configuration's one; `keeper`: a state folder."""
        self.config = config
        self.loop = loop = asyncio.get_running_loop()
        self.share = max(16, (config.sockets - SOCKETS_SPARE) // 2)
        self.upstream = Upstream(loop, config.settings.connect_timeout or 1.0, config.idle, self.share)
        self.placement, self.keeper, self.clock = placement, keeper, clock
        gateway = self.gateway = make_gateway(config.settings, config.seed, clock(), placement)
        self.ingress = Ingress(loop, config.settings, gateway, self.upstream, config.load_fields, clock, scheduler)
        self.server = IngressServer(loop, self.ingress, self.share)
        self.discovery: Discovery | None = None
        self.version = config.known.version if config.known else 0  # of the list of backends
        self.counter: Counter | Counters | None = None
        self.peers: Peers | None = None

    async def start(self) -> None:
        """Open everything, clients' door last. OSError where an address cannot be had."""
        config, ingress, driver = self.config, self.ingress, self.ingress.driver
        if self.keeper is not None:
            self.keeper.current_endpoints = self.places
            self.keeper.start(self.gateway, self.clock, self.loop)
        if self.placement is not None:
            driver.counter = self.counter = Counters(
                self.loop, self.placement, config.settings.counter_timeout, ingress.submit, driver.scheduler.time
            )
        elif config.counter is not None and config.settings.counter:
            driver.counter = self.counter = Counter(
                self.loop, config.counter, config.settings.counter_timeout, ingress.submit, driver.scheduler.time
            )
        if config.peer_listen is not None and config.settings.peers:
            peers = Peers(config.peers, config.peers_all, config.settings.me, ingress.submit)
            await self.loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
            driver.peers = self.peers = peers
        kept = self.keeper.endpoint_list if self.keeper is not None else None
        if kept is not None and (config.known is None or kept.version > config.known.version):
            ingress.listed(listing_of(kept), saved=True)
        elif config.known is not None:
            ingress.listed(config.known, saved=True)
        self.discovery = Discovery(
            self.loop, config.discovery, config.known.version if config.known else 0, self.listed
        )
        await self.server.listen(*config.listen)
        log.info("%s serves on %s:%d", config.name, *config.listen)
        gc.freeze()  # what start-up made is never garbage

    def listed(self, listing: Listing) -> None:
        """Discovery's word: its version goes with the list that is kept."""
        self.ingress.listed(listing)
        self.version = listing.version

    def places(self) -> tuple[int, tuple[EndpointRecord, ...]]:
        """The list of backends as it stands, to be kept."""
        from thistleusher.state.records import EndpointRecord

        entries = [b.entry for b in self.gateway.fleet.backends.values() if b.entry.backend in self.upstream.pools]
        return self.version, tuple(
            EndpointRecord(
                e.backend,
                e.phase.value,
                e.weight,
                e.kind,
                e.cell,
                e.born,
                e.zone,
                *self.upstream.pools[e.backend].endpoint.address,
            )
            for e in entries
        )

    def reload(self, new: Config, placement: Placement | None = None) -> None:
        """Follow discovery and the counter to where the file says now; all else takes a restart."""
        if self.discovery is not None:
            self.discovery.move(new.discovery)
        if isinstance(self.counter, Counter) and new.counter is not None:
            self.counter.move(new.counter)
        elif isinstance(self.counter, Counters) and placement is not None:
            self.gateway.counters.follow(placement)
            self.counter.place(placement)
        log.info("%s has read its configuration anew", self.config.name)

    async def stop(self, notice: Awaitable[object]) -> None:
        """Go on until `notice` is over and nobody comes any more, finish what is held, then close everything."""
        log.info("%s stops: %d requests held", self.config.name, len(self.ingress.held))
        longest = max(c.deadline for c in self.config.settings.classes)
        await self.server.leave(notice, GracefulShutdown(self.loop.time(), longest))
        self.ingress.driver.leave()
        await asyncio.sleep(min(LAST_WORDS_S, self.config.settings.counter_timeout / 2))
        self.ingress.driver.leave()  # again: a datagram may be lost, or overtaken by this one
        self.close()
        log.info("%s has stopped", self.config.name)

    def close(self) -> None:
        """Close all at once; what is still held gets no answer."""
        self.server.close()
        if self.discovery is not None:
            self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        if self.peers is not None:
            self.peers.close()
        self.upstream.close()
        if self.keeper is not None:
            self.keeper.close()


def listing_of(kept: EndpointListRecord) -> Listing:
    """A kept list of backends, as discovery would have told it."""
    return Listing(
        kept.version,
        True,
        tuple(
            (
                BackendEntry(p.name, Phase(p.phase), p.weight, p.kind, p.cell, p.born, p.zone),
                Endpoint((p.host, p.port), p.born),
            )
            for p in kept.endpoints
        ),
    )
