"""The steps of a call, common to both clients: a generator that yields each operation to wait for.

`calls` and `directory` decide what follows from each answer or failure; the clients only wait. httpx manages the
connections and keeps them open for further calls to the same address; a retry asks for a new one.
"""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable, Generator, Mapping, Sequence
from typing import Any, NamedTuple

import httpx

from thistleusher.client.calls import (
    DEFAULT_MAX_ATTEMPTS,
    AttemptFailure,
    Call,
    Ended,
    Retry,
    RetryBudget,
    Unknown,
    UnknownEnd,
)
from thistleusher.client.directory import Directory

CONNECT_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_S = 1.0  # time-out of a request to a directory
LATE_ANSWER_S = 0.05  # time beyond the call's deadline in which an answer sent right before it may still arrive


class AttemptReport(NamedTuple):
    """Report of one attempt to a hook; `status` is 0 if there was no answer, `error` is empty if there was one."""

    id: str
    address: str
    took_s: float
    status: int
    error: str


class Send(NamedTuple):
    """Step: send a request and wait for the httpx response or exception, which is sent into the generator."""

    request: httpx.Request
    connect_timeout_s: float
    answer_timeout_s: float

    def with_timeouts(self) -> httpx.Request:
        """Return the request with its time-outs set in the form that httpx's clients read."""
        timeout = httpx.Timeout(self.answer_timeout_s, connect=self.connect_timeout_s)
        self.request.extensions = {"timeout": timeout.as_dict()}
        return self.request


class Sleep(NamedTuple):
    """Step: wait for `for_s` seconds."""

    for_s: float


Step = Send | Sleep
Steps = Generator[Step, Any, Ended]
Hook = Callable[[AttemptReport], object]


class CallSteps:
    """Base of both clients: the directory, the retry budget, and the steps of a call."""

    def __init__(
        self,
        servers: Sequence[str],
        host: str,
        *,
        region: str = "",
        zone: str = "",
        key: str = "",
        tries: int = DEFAULT_MAX_ATTEMPTS,
        on_try: Hook | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Prepare calls to the service `host`.

        `servers`: `host:port` of the directories, nearest first; `key`: the tenant's key, if any; `tries`: maximum
        number of attempts per call; `on_try` is called with an `AttemptReport` after each attempt. Raises ValueError
        if `servers` is empty.
        """
        self.host = host
        self.key = key
        self.max_attempts = tries
        self.on_try = on_try
        self.rng = rng or random.Random()
        self.budget = RetryBudget()
        self.directory = Directory(servers, host, region, zone, time.monotonic(), self.rng)

    def _steps(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline_s: float,
        repeatable: bool,
    ) -> Steps:
        """Yield the steps of one call; return its result, or raise UnknownEnd."""
        call = Call(time.monotonic(), deadline_s, repeatable, self.budget, self.max_attempts)
        attempt_ids: list[str] = []
        while True:
            yield from self._resolve()
            now = time.monotonic()
            address = self.directory.pick(now)
            call.begin_attempt()
            if call.time_left(now) <= 0 or address is None:
                next_step: Retry | Ended = call.failed(now, AttemptFailure.UNSENT, "no address known or no time left")
            else:
                attempt_ids.append(secrets.token_hex(8))
                all_headers = {**headers, **self._headers(call, now, attempt_ids[-1])}
                url = f"http://{address}{path}"
                request = httpx.Request(method, url, headers=all_headers, content=body or None)
                result = yield Send(
                    request, min(CONNECT_TIMEOUT_S, call.time_left(now)), call.time_left(now) + LATE_ANSWER_S
                )
                next_step = self._attempt_ended(call, address, result, now, attempt_ids[-1])
            if isinstance(next_step, Retry):
                yield Sleep(next_step.after_s)
                continue
            if isinstance(next_step, Unknown) and not repeatable:
                raise UnknownEnd(next_step.why, tuple(attempt_ids))
            return next_step

    def _resolve(self) -> Generator[Step, Any, None]:
        """Ask the directories in turn if an update is due; the first valid answer is used."""
        directory = self.directory
        if not directory.is_due(time.monotonic()):
            return
        for server in directory.servers_to_ask():
            request = httpx.Request("GET", f"http://{server}/resolve", params=directory.query)
            result = yield Send(request, RESOLVE_TIMEOUT_S, RESOLVE_TIMEOUT_S)
            has_answered = isinstance(result, httpx.Response) and result.status_code == 200
            if has_answered and directory.apply_answer(time.monotonic(), result.content):
                return
        directory.record_failure(time.monotonic())

    def _headers(self, call: Call, now: float, attempt_id: str) -> dict[str, str]:
        """Return the headers that the library itself adds to an attempt."""
        headers = {
            "Host": self.host,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(max(1, int(call.time_left(now) * 1000))),
        }
        if self.key:
            headers["Authorization"] = f"Token {self.key}"
        if call.attempts > 1:
            headers["Connection"] = "close"
        return headers

    def _attempt_ended(self, call: Call, address: str, result: Any, began: float, attempt_id: str) -> Retry | Ended:
        """Report an attempt to the hook; return the retry or the result. `result`: httpx's response or exception."""
        now = time.monotonic()
        response = result if isinstance(result, httpx.Response) else None
        if self.on_try is not None:
            status = response.status_code if response is not None else 0
            error = "" if response is not None else f"{type(result).__name__}: {result}"
            self.on_try(AttemptReport(attempt_id, address, now - began, status, error))
        if response is not None:
            return call.answered(now, response.status_code, dict(response.headers), response.content)
        self.directory.avoid(now, address)
        is_unsent = isinstance(result, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout)
        failure = AttemptFailure.UNSENT if is_unsent else AttemptFailure.BROKEN
        return call.failed(now, failure, f"{type(result).__name__} at {address}")
