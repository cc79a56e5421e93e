"""Hosts many gateways for the simulator, on standard input and output: `python -m thistleusher.wirehost`."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TextIO

from thistleusher.assembly import make_gateway
from thistleusher.core import events
from thistleusher.core.ports import Decisions
from thistleusher.core.settings import ClassSettings, PlanSettings, Settings
from thistleusher.core.settings_parser import read_settings
from thistleusher.core.text_fields import InvalidSettingError, invalid, read_choice, read_number, read_whole
from thistleusher.wire_codec import check_count, read_event, write_action

MIN_SEED = -(2**63)


class Instance(NamedTuple):
    """One running gateway, with the names that its messages may use."""

    gateway: Decisions
    load_fields: tuple[str, ...]
    classes: dict[str, ClassSettings]
    plans: dict[str, PlanSettings]


class Host:
    """All instances of one process. They share no state apart from this dispatcher."""

    def __init__(self, make: Callable[[Settings, int, float], Any] = make_gateway) -> None:
        self.make = make
        self.instances: dict[int, Instance] = {}

    def process_batch(self, lines: list[str]) -> list[str]:
        """Process one batch, from its CLOCK line to the line before END, and return the lines of the answer."""
        head = lines[0].split(" ")
        if head[0] != "CLOCK":
            invalid("batch", "first line", "CLOCK", head[0])
        check_count("CLOCK", head, 2)
        now = read_number("CLOCK", "clock", head[1])
        out: list[str] = []
        rest = iter(lines[1:])
        for line in rest:
            out += self._process_message(now, line, rest)
        return out

    def _process_message(self, now: float, line: str, rest: Iterator[str]) -> list[str]:
        """Process one message, with the rows of a list from `rest`, and return the lines of the answer."""
        parts = line.split(" ")
        name = parts[0]
        if len(parts) < 2:
            invalid("batch", "message", "a message for an instance", line)
        me = read_whole(name, "ingress", parts[1])
        if name == "CRASH_NOW":
            check_count(name, parts, 2)
            self.instances.pop(me, None)
            return []
        if name == "BORN":
            self._start(now, me, parts)
            return []
        return self._process_event(now, me, parts, rest)

    def _start(self, now: float, me: int, parts: list[str]) -> None:
        """Start an instance with its seed and settings."""
        if len(parts) < 3:
            invalid(parts[0], "fields", "ingress, seed and profileData", len(parts) - 1)
        settings, load_fields = read_settings(parts[3:])
        seed = read_whole(parts[0], "seed", parts[2], MIN_SEED)
        classes = {c.name: c for c in settings.classes}
        plans = {p.name: p for p in settings.plans}
        self.instances[me] = Instance(self.make(settings, seed, now), load_fields, classes, plans)

    def _process_event(self, now: float, me: int, parts: list[str], rest: Iterator[str]) -> list[str]:
        """Pass an event to its instance and return the lines of the resulting actions."""
        instance = self.instances.get(me)
        event = read_event(parts, instance.load_fields if instance is not None else (), rest)
        if instance is None:
            invalid(parts[0], "ingress", "an instance that is running", me)
        if isinstance(event, events.Request):
            read_choice(parts[0], "service", event.class_name, instance.classes)
            read_choice(parts[0], "plan", event.plan, instance.plans)
        lines: list[str] = []
        try:
            for action in instance.gateway.handle(now, event):
                lines.append(write_action(me, action))  # noqa: PERF401  (keeps the lines before an exception)
        except Exception as fault:  # reported on the wire as an EXCEPTION line with the error's text
            text = " ".join(f"{type(fault).__name__}: {fault}".split())
            lines.append(f"EXCEPTION {me} {text}")
        return lines


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the end of input."""
    host = Host()
    lines: list[str] = []
    for line in source:
        text = line.rstrip("\r\n")
        if text != "END":
            if text or lines:
                lines.append(text)
            continue
        if not lines:
            invalid("batch", "first line", "CLOCK", "END")
        reply = host.process_batch(lines)
        lines = []
        sink.write("\n".join([*reply, "DONE\n"]))
        sink.flush()
    if lines:
        invalid("batch", "last line", "END", "end of input")


def main() -> int:
    """Serve standard input. A malformed line ends the process with a one-line error and exit code 2."""
    try:
        serve(sys.stdin, sys.stdout)
    except (InvalidSettingError, ValueError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
