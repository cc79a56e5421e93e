"""The scenario of `make run` passes: the three programs as processes on loopback, with stand-ins."""

import asyncio

import pytest

from standins.system import System
from standins.system_story import run_scenario


@pytest.mark.usefixtures("system_addresses")
def test_the_whole_system_serves_drains_and_follows_changes(tmp_path):
    lines = []

    async def play():
        async with System(tmp_path, lines.append) as system:
            await run_scenario(system)

    asyncio.run(play())
    assert len(lines) >= 12
