"""Applies the faults of a script to the stand-ins and ingresses of a fleet."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any

from standins.counter import Counter
from standins.discovery import Discovery
from standins.faults import Fault, ScriptError
from standins.fleet_options import HALL_COUNT, Options
from standins.ingress_process import IngressProcess
from standins.match import MatchServer
from standins.records import Crashed, Records
from standins.relay import Relay

COUNTER_DELAY_S = 0.001


def check_targets(options: Options, faults: Sequence[Fault]) -> None:
    """Raise ScriptError if the target of a fault does not exist."""
    counts = {"match": options.servers, "hall": HALL_COUNT}
    for fault in faults:
        count = counts.get(fault.do.partition(".")[0], options.ingresses)
        if fault.target >= count:
            raise ScriptError(f"{fault.do}: target: expected a number below {count}, got {fault.target}")


class FaultSwitch:
    """Switches the faults of one fleet on and off."""

    def __init__(
        self,
        options: Options,
        records: Records,
        counter: Counter,
        second_counter: Counter,
        discovery: Discovery,
        servers: list[MatchServer],
        ingresses: list[IngressProcess],
        set_server_status: Callable[[int, str], None],
    ) -> None:
        """Prepare the switch.

        `second_counter` serves the ingresses that a fault moves away. `set_server_status` changes discovery's list.
        """
        self.relay: Relay | None = None
        self.tasks: set[asyncio.Task[Any]] = set()  # restarts in progress
        self._options = options
        self._records = records
        self._counter = counter
        self._second_counter = second_counter
        self._discovery = discovery
        self._servers = servers
        self._ingresses = ingresses
        self._set_server_status = set_server_status

    def switch(self, fault: Fault, on: bool) -> Any:
        """Switch one fault on or off; return a coroutine to await if that takes time, else None."""
        where, _, what = fault.do.partition(".")
        if where == "counter":
            self._switch_counter(what, fault, on)
        elif where == "match":
            return self._switch_server(what, fault, on)
        elif where == "discovery":
            self._discovery.silence(on)
        elif where == "relay":
            self._switch_relay(what, fault, on)
        elif where == "ingress":
            return self._kill_or_restart_ingress(what, fault.target)
        elif where == "hall":
            return self._lose_hall(fault.target) if on else self._restore_hall(fault.target)
        return None

    def _switch_relay(self, what: str, fault: Fault, on: bool) -> None:
        if self.relay is None:
            return
        if what == "isolate":
            self.relay.isolate(fault.target, on)
        else:
            setattr(self.relay, what, fault.value if on else getattr(self._options, what))

    # The counter.

    def _switch_counter(self, what: str, fault: Fault, on: bool) -> None:
        counter = self._counter
        value = fault.value if on else 0.0
        switches: dict[str, Callable[[], None]] = {
            "silence": lambda: counter.silence(on),
            "refuse": lambda: setattr(counter, "refusing", on),
            "restart": counter.restart_from_zero,
            "lose": lambda: setattr(counter, "lost_answer_fraction", value),
            "spoil": lambda: setattr(counter, "garbled_answer_fraction", value),
            "forget": lambda: setattr(counter, "lifetime_factor", fault.value if on else 1.0),
            "old": lambda: setattr(counter, "answers_previous_total", on),
            "late": lambda: self._delay_counter(fault, on),
            "split": lambda: self._select_counter(fault, on),
            "delay": lambda: setattr(counter, "delay", fault.value if on else COUNTER_DELAY_S),
        }
        switches[what]()

    def _delay_counter(self, fault: Fault, on: bool) -> None:
        """Point one ingress to a counter that has the same totals but answers late."""
        self._second_counter.counts = self._counter.counts
        self._second_counter.delay = fault.value if on else COUNTER_DELAY_S
        self._select_counter(fault, on)

    def _select_counter(self, fault: Fault, on: bool) -> None:
        """Point one ingress to the other counter, or back."""
        counter = self._second_counter if on else self._counter
        self._ingresses[fault.target].set_counter_address(counter.address)

    # Match servers.

    def _switch_server(self, what: str, fault: Fault, on: bool) -> Any:
        if what == "kill":
            return self._servers[fault.target].stop() if on else self._start_server_again(fault.target)
        server = self._servers[fault.target]
        value = fault.value if on else 0.0
        switches: dict[str, Callable[[], None]] = {
            "drain": lambda: self._drain(fault.target, on),
            "silence": lambda: server.silence(on),
            "slow": lambda: setattr(server, "work_factor", fault.value if on else 1.0),
            "errors": lambda: setattr(server, "error_fraction", value),
            "resets": lambda: setattr(server, "reset_fraction", value),
            "cuts": lambda: setattr(server, "cut_fraction", value),
            "close_idle": server.close_idle,
        }
        switches[what]()
        return None

    def _drain(self, number: int, on: bool) -> None:
        self._servers[number].draining = False
        self._set_server_status(number, "DRAINING" if on else "SERVING")

    async def _start_server_again(self, number: int) -> None:
        """Start a stopped server again, cold. A server that still runs is left alone."""
        server = self._servers[number]
        if server.server is not None:
            return
        await server.start(server.port)
        self._set_server_status(number, "SERVING")

    # Halls (the zones of the fleet) and ingresses.

    async def _lose_hall(self, hall: int) -> None:
        """Kill all servers and ingresses of a hall at once. Hall 0 includes the counter, whose totals are lost."""
        ingresses = self._ingresses[hall::HALL_COUNT]
        self._record_crashes(ingresses, dying=True)
        await asyncio.gather(
            *(ingress.end(signal.SIGKILL) for ingress in ingresses),
            *(server.stop() for server in self._servers[hall::HALL_COUNT]),
        )
        self._record_crashes(ingresses, dying=False)
        if hall == 0:
            self._counter.restart_from_zero()

    async def _restore_hall(self, hall: int) -> None:
        """Start the servers of a hall again, cold, and those of its ingresses that do not run."""
        for number in range(hall, len(self._servers), HALL_COUNT):
            await self._start_server_again(number)
        for ingress in self._ingresses[hall::HALL_COUNT]:
            if ingress.process is None or ingress.process.returncode is not None:
                await ingress.start()

    def _record_crashes(self, ingresses: Sequence[IngressProcess], dying: bool) -> None:
        for ingress in ingresses:
            self._records.add(Crashed(time.time(), str(ingress.number), dying))

    async def _kill_or_restart_ingress(self, what: str, number: int) -> None:
        """Kill an ingress and start it again, or restart it gracefully in the background."""
        ingress = self._ingresses[number]
        if what == "kill":
            self._record_crashes([ingress], dying=True)  # its requests may end before or after its end is seen
            await ingress.end(signal.SIGKILL)
            self._record_crashes([ingress], dying=False)
            await ingress.start()
        else:
            self.tasks.add(asyncio.create_task(self._restart(ingress)))

    @staticmethod
    async def _restart(ingress: IngressProcess) -> None:
        await ingress.end()
        await ingress.start()
