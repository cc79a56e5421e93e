"""Simulated operators, which send orders and reads as documented for users, and check the answers against the history.

An operator follows at most two redirects in a row. After a connection failure, a 5xx status or a time-out of one second
it retries on another machine, with increasing pauses. An answer may be lost; the operator then sends the same order
again, preferably to other machines. A call stays in the socket buffer of a machine until the process accepts it, even
if the operator has abandoned the attempt.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from simnet.core.history import CONFIG, Order, order_in
from simnet.core.machine import Machine
from simnet.core.ports import Core
from simnet.core.requests import Attempt, Request
from simnet.errors import RuleViolationError
from thistleusher.common.errors import RESPONSES, ErrorKind, ServiceError
from thistleusher.control.interface import Answer, Change, Read
from thistleusher.transport.state_updates import State

RESPONSE_TIMEOUT_S = 1.0  # response time-out per machine
REQUEST_TIMEOUT_S = 8.0  # total time for the attempts of one request
REFUSAL_S = 0.002  # time until a machine whose process has ended refuses a connection
REDIRECT_S = 0.001  # delay from a redirect to the next call
MAX_RETRY_PAUSE_S = 0.4  # maximum delay before a retry
MAX_REDIRECTS = 2
REDIRECT_STATUS = 307
FINAL_STATUSES = frozenset({400, 404, 409, 412, 413, 422})  # statuses that are never retried
LOST_ANSWER_SHARE = 0.7  # fraction of answers that are lost until `acks_lost_until`


def _ignore(answer: Any) -> None:
    """Ignore the answer."""


class Operators:
    """All operators."""

    def __init__(self, core: Core) -> None:
        self.attempts: dict[int, Attempt] = {}  # number -> attempt that may still be answered
        self.acks: list[float] = []  # times at which changes were acknowledged
        self.confirmations: list[tuple[float, str]] = []  # time and address of each successful answer
        self.last_read = State()
        self.acks_lost_until = 0.0
        self.on_sent: Callable[[str], None] = lambda address: None
        self.on_acknowledged: Callable[[str], None] = lambda address: None
        self._core = core
        self._history = core.history
        self._calls: dict[tuple[str, int, int], int] = {}  # (machine, incarnation, call id) -> attempt number
        self._numbers = itertools.count(1)
        self._evacuations: list[Request] = []

    # Orders and reads.

    def put(self, number: int, contents: str, addresses: list[str] | None = None, first_only: bool = False) -> None:
        """Send a configuration until a machine acknowledges it."""
        order = Order(number, contents)
        conflicts: list[bool] = []

        def is_redundant(state: State) -> bool:
            present = order_in(state)
            conflicts[:] = [present.number == number and present.contents != contents]
            return present.number >= number

        def items(state: State) -> dict[str, Any]:
            conflicts[:] = [False]
            return {CONFIG: {"v": number, "z": contents}}

        request = Request(
            make=lambda call_id: Change(call_id, is_redundant, items, f"configuration {number}"),
            on_answer=lambda _: self._history.acknowledge(number),
            on_success=lambda _: self._history.confirm(order),
            addresses=addresses or list(self._core.machines),
            until=self._core.clock.now + REQUEST_TIMEOUT_S,
            conflicting=lambda: any(conflicts),
            first_only=first_only,
        )
        self._send(request)

    def evacuate(self, zone: str, on: bool) -> None:
        """Begin or end the evacuation of a zone.

        Requests that begin and end it may be in flight at the same time, as if they came from different operators.
        """
        name = f"evac:{zone}"

        def is_redundant(state: State) -> bool:
            present = state.value(name)
            return (present is not None and present["on"]) == on

        def items(state: State) -> dict[str, Any]:
            present = state.value(name)
            return {name: {"on": on, "n": (present["n"] if present else 0) + 1}}

        def on_answer(_: Any) -> None:
            others = [r for r in self._open_evacuations(zone) if r is not request]
            self._history.evacuated[zone] = None if others else on

        self._history.evacuated[zone] = None
        request = Request(
            make=lambda call_id: Change(call_id, is_redundant, items, name),
            on_answer=on_answer,
            on_success=_ignore,
            addresses=list(self._core.machines),
            until=self._core.clock.now + REQUEST_TIMEOUT_S,
            zone=zone,
        )
        self._evacuations.append(request)
        self._send(request)

    def _open_evacuations(self, zone: str) -> list[Request]:
        """Return the requests for a zone that are not finished, or that a process may still accept."""
        now = self._core.clock.now
        machines = self._core.machines
        self._evacuations = [r for r in self._evacuations if not r.done and now <= r.until]
        waiting = [a.request for a in self.attempts.values() if machines[a.address].incarnation == a.incarnation]
        return [r for r in (*self._evacuations, *waiting) if r.zone == zone]

    def read(self, addresses: list[str] | None = None) -> None:
        """Read the state. Each answer must contain all that was acknowledged before the read was sent."""
        least, evacuated = self._history.acknowledged, dict(self._history.evacuated)

        def on_success(answer: Any) -> None:
            self._history.check_read(answer, least, evacuated)

        def on_answer(answer: Any) -> None:
            self.last_read = answer

        request = Request(
            make=lambda call_id: Read(call_id, lambda state: state.copy()),
            on_answer=on_answer,
            on_success=on_success,
            addresses=addresses or list(self._core.machines),
            until=self._core.clock.now + REQUEST_TIMEOUT_S,
        )
        self._send(request)

    # Attempts.

    def _choose(self, request: Request) -> str:
        if request.first_only:
            return request.addresses[0]
        fresh = [a for a in request.addresses if a not in request.tried]
        if not fresh:
            request.tried.clear()
        return self._core.rng.choice(fresh or request.addresses)

    def _send(self, request: Request, at: str | None = None, redirects: int = 0) -> None:
        if request.done or self._core.clock.now > request.until:
            return
        address = at or self._choose(request)
        request.tried.add(address)
        machine = self._core.machines[address]
        number = next(self._numbers)
        attempt = Attempt(request, address, machine.incarnation, redirects)
        self._core.clock.later(RESPONSE_TIMEOUT_S, lambda: self._abandon(attempt))
        self.on_sent(address)
        if machine.node is not None:
            self.attempts[number] = attempt
            self._core.call(machine, request.make, lambda call_id: self._call_accepted(attempt, call_id, number))
        elif not machine.powered_off and not machine.removed:
            self._core.clock.later(REFUSAL_S, lambda: self._abandon(attempt))

    def _call_accepted(self, attempt: Attempt, call_id: int, number: int) -> None:
        self._calls[attempt.address, attempt.incarnation, call_id] = number

    def _abandon(self, attempt: Attempt) -> None:
        """Retry the request because the machine does not answer or refuses connections."""
        if not attempt.abandoned:
            attempt.abandoned = True
            self._send_again(attempt.request)

    def _send_again(self, request: Request) -> None:
        pause = request.pause
        request.pause = min(2 * pause, MAX_RETRY_PAUSE_S)
        self._core.clock.later(pause, lambda: self._send(request))

    def answered(self, machine: Machine, answer: Answer) -> None:
        """Handle a machine's answer to a call.

        Raises RuleViolationError if the call has no open attempt or if the machine must not answer it now.
        """
        number = self._calls.pop((machine.address, machine.incarnation, answer.call_id), None)
        attempt = self.attempts.pop(number, None) if number is not None else None
        if attempt is None:
            raise RuleViolationError(f"call {answer.call_id} was answered twice or was never made")
        if isinstance(answer.answer, ServiceError):
            self._failed(attempt, answer.answer)
        elif not self._core.in_contact(machine):
            raise RuleViolationError(
                f"{machine.address} answered call {answer.call_id} without contact with a majority"
            )
        elif attempt.request.conflicting():
            self._failed(attempt, ServiceError(ErrorKind.INVALID_CONFIGURATION))
        else:
            self._succeeded(attempt, answer.answer)

    def _failed(self, attempt: Attempt, error: ServiceError) -> None:
        request = attempt.request
        status = RESPONSES[error.kind].status
        if status in FINAL_STATUSES and not request.conflicting():
            raise RuleViolationError(f"{attempt.address} rejected an order with a final status: {error.kind}")
        if attempt.abandoned or request.done:
            return
        attempt.abandoned = True
        redirected = status == REDIRECT_STATUS and attempt.redirects < MAX_REDIRECTS
        if status in FINAL_STATUSES:
            request.done = True
        elif redirected and error.location in self._core.machines:
            redirects = attempt.redirects + 1
            self._core.clock.later(REDIRECT_S, lambda: self._send(request, error.location, redirects))
        else:
            self._send_again(request)

    def _succeeded(self, attempt: Attempt, answer: Any) -> None:
        request = attempt.request
        now = self._core.clock.now
        self.confirmations.append((now, attempt.address))
        request.on_success(answer)
        if attempt.abandoned or request.done:
            return
        if now < self.acks_lost_until and self._core.rng.random() < LOST_ANSWER_SHARE:
            return  # the answer is lost; the attempt ends by its time-out
        attempt.abandoned = True
        request.done = True
        request.on_answer(answer)
        if not isinstance(answer, State):
            self.acks.append(now)
            self.on_acknowledged(attempt.address)
