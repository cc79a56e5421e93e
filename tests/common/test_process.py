"""Functions shared by the programs: errors in ticks and background tasks are logged and stop nothing else."""

import asyncio

from thistleusher.common import background, process
from thistleusher.common.background import start_background


class BrokenSettings:
    """Settings whose reload always raises an unexpected exception."""

    class node_settings:  # noqa: N801
        node_name = "n"
        seed_nodes = ()

    def reload(self):
        raise UnicodeDecodeError("utf-8", b"\xff", 0, 1, "no text")


def test_settings_that_cannot_be_read_at_all_do_not_end_the_ticks(monkeypatch):
    logged, ticks = [], []
    monkeypatch.setattr(process, "log_event", lambda event, *fields: logged.append(event.name))
    monkeypatch.setattr(process, "TICK_S", 0.0)
    monkeypatch.setattr(process, "SETTINGS_CHECK_S", 0.0)

    async def play():
        enough = asyncio.Event()

        def tick():
            ticks.append(None)
            if len(ticks) == 5:
                enough.set()

        async def nothing():
            return None

        serving = asyncio.create_task(process.serve("p", BrokenSettings(), tick, lambda: None, nothing))
        async with asyncio.timeout(5):
            await enough.wait()
        serving.cancel()

    asyncio.run(play())
    assert logged.count("FAULT") >= 3


def test_a_failed_background_task_is_logged_at_once(monkeypatch):
    logged = []
    monkeypatch.setattr(background, "log_event", lambda event, *fields: logged.append((event.name, *fields)))

    async def fail():
        raise RuntimeError("the handler is closed")

    async def play():
        task = start_background(asyncio.get_running_loop(), fail(), "a call")
        cancelled = start_background(asyncio.get_running_loop(), asyncio.sleep(60), "a wait")
        cancelled.cancel()
        await asyncio.wait([task, cancelled])
        await asyncio.sleep(0)

    asyncio.run(play())
    assert logged == [("FAULT", "a call", "RuntimeError('the handler is closed')")]
