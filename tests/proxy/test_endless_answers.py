"""FAULT: a backend that sends one part of its answer without end is cut off; its request may have run."""

import pytest

from tests.endless_messages import KIB, MIB, responses
from tests.proxy.loopback_rig import play

PARTS = responses()


def without_end(part):
    """Return a step of a backend that begins such an answer."""
    pieces = b"".join(piece for piece, _ in zip(PARTS[part].pieces(64 * KIB), range(MIB // (64 * KIB)), strict=False))
    return lambda attempt: pieces


@pytest.mark.parametrize("part", sorted(PARTS))
def test_a_repeatable_request_is_served_by_another_backend_and_a_payout_runs_once(part):
    async def scenario(rig):
        for backend in rig.backends:
            backend.script = [without_end(part)]
        assert (await rig.ask("/e/", method="POST")).status == 502
        assert len(rig.runs()) == 1
        for _ in range(3):  # the other one is as faulty, once
            assert (await rig.ask("/p/")).status == 200
        assert not rig.budget.held

    play(scenario, capacity=8 * MIB)
