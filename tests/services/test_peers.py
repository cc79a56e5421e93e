"""Datagrams between ingresses: receivers, senders, and the size limit."""

from __future__ import annotations

import asyncio

from tests.net.sockets import HOST, run, until
from thistleusher.core import events
from thistleusher.services.peers import PeerDatagrams


def test_datagrams_go_to_one_or_all_and_come_with_their_sender():
    async def main():
        loop = asyncio.get_running_loop()
        got = {n: [] for n in range(3)}
        nodes = []
        for n in range(3):
            node = PeerDatagrams([], None, n, got[n].append)
            await loop.create_datagram_endpoint(lambda node=node: node, local_addr=(HOST, 0))
            nodes.append(node)
        addresses = [n.transport.get_extra_info("sockname") for n in nodes]
        for node in nodes:
            node.peers, node.numbers = addresses, {a: i for i, a in enumerate(addresses)}
        nodes[0].send(2, b"one")
        nodes[1].send(None, b"all")
        nodes[1].send(0, b"x" * 257)  # too long: not sent
        nodes[1].send(9, b"nobody")
        stranger = PeerDatagrams(addresses, None, 0, got[0].append)
        await loop.create_datagram_endpoint(lambda: stranger, local_addr=(HOST, 0))
        stranger.send(0, b"from nowhere")
        nodes[2].send(0, b"last")
        await until(lambda: len(got[0]) == 2 and len(got[2]) == 2)
        assert sorted(got[0]) == [events.PeerMessage(1, b"all"), events.PeerMessage(2, b"last")]
        assert sorted(got[2]) == [events.PeerMessage(0, b"one"), events.PeerMessage(1, b"all")]
        assert not got[1]
        nodes[2].broadcast_address = addresses[1]
        nodes[2].send(None, b"by one address")
        await until(lambda: got[1])

    run(main())
