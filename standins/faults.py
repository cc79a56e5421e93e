"""Fault scripts: faults with their times, read from TOML and validated before the run starts.

[[fault]]
at = 2.0             # seconds after the start of the traffic
do = "match.silence"  # one of ACTIONS
target = 3           # number of the server, ingress or hall, if the action takes one
for = 1.5            # seconds until the fault ends, if the action has an end
value = 0.2          # fraction, factor or seconds, if the action takes one
"""

from __future__ import annotations

import asyncio
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

MAX_NUMBER = 1e6  # upper limit of each number of a script, in seconds for times


class Action(NamedTuple):
    """The optional keys that an action takes."""

    target: bool = False
    ends: bool = False
    value: bool = False


ACTIONS = {
    "counter.silence": Action(ends=True),
    "counter.refuse": Action(ends=True),
    "counter.restart": Action(),
    "counter.lose": Action(ends=True, value=True),
    "counter.spoil": Action(ends=True, value=True),
    "counter.delay": Action(ends=True, value=True),
    "counter.forget": Action(ends=True, value=True),
    "counter.old": Action(ends=True),
    "counter.split": Action(target=True, ends=True),
    "counter.late": Action(target=True, ends=True, value=True),
    "match.kill": Action(target=True, ends=True),
    "match.drain": Action(target=True, ends=True),
    "match.silence": Action(target=True, ends=True),
    "match.slow": Action(True, True, True),
    "match.errors": Action(True, True, True),
    "match.resets": Action(True, True, True),
    "match.cuts": Action(True, True, True),
    "match.close_idle": Action(target=True),
    "hall.lose": Action(target=True, ends=True),
    "discovery.silence": Action(ends=True),
    "relay.loss": Action(ends=True, value=True),
    "relay.delay": Action(ends=True, value=True),
    "relay.isolate": Action(target=True, ends=True),
    "ingress.kill": Action(target=True),
    "ingress.restart": Action(target=True),
}


class Fault(NamedTuple):
    """One entry of a script. A fault with a `duration_s` of 0 does not end."""

    at: float
    do: str
    target: int = 0
    duration_s: float = 0.0
    value: float = 0.0


class ScriptError(Exception):
    """A script is invalid; the message names the file, the fault, the key and the expected value."""


def read_script(path: str | Path) -> list[Fault]:
    """Return the faults of a script, ordered by time. Raises ScriptError."""
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ScriptError(f"{path}: {error}") from error
    except RecursionError as error:
        raise ScriptError(f"{path}: nested too deeply") from error
    faults = data.get("fault", [])
    if not isinstance(faults, list) or data.keys() - {"fault"}:
        raise ScriptError(f"{path}: expected [[fault]] tables only")
    return sorted(_parse_fault(f"{path}: fault {n}", f) for n, f in enumerate(faults, 1))


def _parse_fault(where: str, data: dict[str, Any]) -> Fault:
    action = ACTIONS.get(str(data.get("do")))
    if action is None:
        raise ScriptError(f"{where}: do: expected one of {', '.join(ACTIONS)}, got {data.get('do')!r}")
    allowed = {"at": True, "do": True, "target": action.target, "for": action.ends, "value": action.value}
    for key in data:
        if not allowed.get(key):
            raise ScriptError(f"{where}: {key if key.isprintable() else repr(key)}: {data['do']} takes no such key")
    for key, needed in (("at", True), ("target", action.target), ("value", action.value)):
        if needed and key not in data:
            raise ScriptError(f"{where}: {key}: missing")
    for key in ("at", "for", "value"):
        value = data.get(key, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_NUMBER:
            raise ScriptError(f"{where}: {key}: expected a number of 0 or more, to {MAX_NUMBER:g}, got {value!r:.40}")
    if isinstance(target := data.get("target", 0), bool) or not isinstance(target, int) or target < 0:
        raise ScriptError(f"{where}: target: expected a whole number of 0 or more, got {target!r}")
    return Fault(float(data["at"]), str(data["do"]), target, float(data.get("for", 0)), float(data.get("value", 0)))


async def play_script(script: list[Fault], switch: Callable[[Fault, bool], Any]) -> None:
    """Switch each fault on at its time, and off at its end. A coroutine that `switch` returns is awaited."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    steps = [(f.at, f, True) for f in script] + [(f.at + f.duration_s, f, False) for f in script if f.duration_s > 0]
    for at, fault, on in sorted(steps, key=lambda s: s[0]):
        await asyncio.sleep(max(0.0, began + at - loop.time()))
        if asyncio.iscoroutine(waiting := switch(fault, on)):
            await waiting
