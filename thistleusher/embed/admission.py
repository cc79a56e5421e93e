"""The admission of one request. The attempt that the driver starts and ends is a run of the host's own code.

Whatever the host does, a request is charged at most once, and its admission ends exactly once: as served, refused,
failed, or abandoned by its client. The admission reports the outcome of the host's code to the driver, and interrupts
that code by `asyncio.timeout` when the request's deadline passes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Protocol, Self

from thistleusher.core import events
from thistleusher.core.driver import Driver
from thistleusher.core.events import Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import AttemptResult, Final
from thistleusher.core.request import BadRequest
from thistleusher.core.settings import Settings


class NotServed(Exception):  # noqa: N818 (a public name of the library)
    """A request was refused or has failed; `final` is its final answer."""

    def __init__(self, final: Final) -> None:
        super().__init__(f"{final.verdict.value}, retry in {final.retry_in:.3f} s")
        self.final = final


class AdmittingIngress(Protocol):
    """The part of an ingress that an admission uses."""

    settings: Settings

    @property
    def driver(self) -> Driver:
        """The driver. Raises RuntimeError if the ingress is not open."""

    def check_loop(self) -> asyncio.AbstractEventLoop:
        """Return the running event loop. Raises RuntimeError if it is not the ingress's loop."""


class Admission:
    """The admission of one request, an async context manager whose body runs only if the request is admitted.

    Entering raises `NotServed` if the request is refused. Leaving raises it if the request's deadline passed before the
    body ended.

    `may_have_run`: the host's code may have run. `begun`: the host's answer has begun. `over`: the outcome has been
    reported to the driver. `left`: the client has disconnected. `interrupted`: the ingress ended the attempt while the
    host's code ran.
    """

    def __init__(self, ingress: AdmittingIngress, request: events.Request) -> None:
        self.driver = ingress.driver
        self.request = request
        self.check_loop = ingress.check_loop
        self.max_units = ingress.settings.max_units
        self.final: Final | None = None
        self.on_interrupt: Callable[[Final], None] | None = None
        self.may_have_run = False
        self.begun = False
        self.over = False
        self.left = False
        self.interrupted = False
        self._decision: asyncio.Future[Final | None] | None = None  # its result is None if the request is admitted
        self._on_end: Callable[[AttemptResult], None] | None = None
        self._in_flight: InFlightRequest | None = None
        self._timeout: asyncio.Timeout | None = None
        self._first_byte_s: float | None = None  # time from the start of the attempt to the answer's first byte
        self._started_at = 0.0
        self._true_units = 0.0

    # Called by the host.

    async def __aenter__(self) -> Self:
        await self.acquire()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.release(kind, error, trace)

    def settle(self, true_units: float) -> None:
        """Set the units the request has really cost; the last value counts. Raises BadRequest if it is out of range."""
        if not 0 <= true_units <= self.max_units:  # rejects NaN as well
            raise BadRequest(f"true_units: expected 0 to {self.max_units:g}, got {true_units!r}")
        self._true_units = true_units

    def begin(self) -> bool:
        """Mark the host's answer as begun. It is then the final answer, and is no longer subject to the deadline.

        Returns False if another final answer was given before; the host must then send nothing more.
        """
        if self.begun:
            return True
        if self.over or self._in_flight is None or not self.driver.begin_answer(self._in_flight):
            return False
        self.begun = True
        self._first_byte_s = self.driver.scheduler.time() - self._started_at
        return True

    def leave(self) -> None:
        """Report that the client has disconnected and needs no answer."""
        self.left = True
        self.driver.client_gone(self.request.id)

    async def acquire(self) -> None:
        """Wait for the admission decision. Raises NotServed if the request is refused."""
        loop = self.check_loop()
        if self._decision is not None:
            raise RuntimeError("an admission can be entered once only")
        self._decision = loop.create_future()
        self._in_flight = self.driver.accept(self.request, self._finished, self)
        try:
            final = await self._decision
            if final is not None:
                raise NotServed(final)
            self._timeout = asyncio.timeout(None)
            await self._timeout.__aenter__()
        except asyncio.CancelledError:  # for example by a time-out of the host: its code has not run
            self.leave()
            self._end(AttemptResult(Outcome.MOOT))
            raise

    async def release(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
        outcome: Outcome | None = None,
    ) -> None:
        """Report that the host's code has ended. `outcome` is given if it is more specific than the code's exception.

        Raises NotServed if the request's deadline passed before.
        """
        if self._timeout is None:
            return
        self._report_end(kind, outcome)
        try:  # noqa: SIM105 (`suppress` is slower, and this runs for every request)
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            pass
        ended_by_ingress = self.interrupted and not self.left and self.final is not None
        if ended_by_ingress and (kind is None or issubclass(kind, asyncio.CancelledError)):
            task = asyncio.current_task()
            if kind is None or task is None or task.cancelling() == 0:  # otherwise the host has cancelled the task too
                assert self.final is not None
                raise NotServed(self.final) from error

    def _report_end(self, kind: type[BaseException] | None, outcome: Outcome | None) -> None:
        """Report the outcome of the host's code to the driver."""
        if kind is None:
            self._end(AttemptResult(outcome or Outcome.OK, None, self._true_units))
        elif issubclass(kind, asyncio.CancelledError) and not self.interrupted:
            self.leave()
            self._end(AttemptResult(Outcome.CANCELLED))
        else:
            self._end(AttemptResult(outcome or Outcome.ERROR))

    # Called by the driver: the final answer and the attempt.

    def _finished(self, final: Final) -> None:
        """Store the driver's final answer, and deliver it to the waiting host or the interrupt callback."""
        self.final = final
        if self._decision is not None and not self._decision.done():
            self._decision.set_result(final)
        elif self.interrupted and self.on_interrupt is not None:
            self.on_interrupt(final)

    def _end(self, ended: AttemptResult) -> None:
        """Report the attempt's end, once. The latency of an answer that has begun is the time to its first byte."""
        if self.over:
            return
        self.over = True
        if self._on_end is not None:
            ended.elapsed = self._first_byte_s
            self._on_end(ended)

    def prepare(self, on_end: Callable[[AttemptResult], None]) -> None:
        """Prepare the request's attempt; its end is reported by exactly one call of `on_end`."""
        self._on_end = on_end

    def start(self, timeout: float) -> None:
        """Start the attempt by admitting the host's code. The driver's own timer ends it, so `timeout` is unused."""
        assert self._decision is not None
        if self._decision.done():  # the host's task was cancelled, but has not run since to report that
            self._end(AttemptResult(Outcome.MOOT))
            return
        self.may_have_run = True
        self._started_at = self.driver.scheduler.time()
        self._decision.set_result(None)

    def expire(self) -> None:
        """End the attempt as timed out, unless its answer has begun; such an answer may continue."""
        if not self.begun:
            self._interrupt(Outcome.TIMEOUT)

    def cancel(self) -> None:
        """End the attempt as cancelled, unless its answer has begun."""
        if not self.begun:
            self._interrupt(Outcome.CANCELLED)

    def abandon(self) -> None:
        """End the attempt as cancelled, unless its answer has begun."""
        self.cancel()

    def _interrupt(self, outcome: Outcome) -> None:
        if self.over:
            return
        self.interrupted = True
        self._end(AttemptResult(outcome))
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())
