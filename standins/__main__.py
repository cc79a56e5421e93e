"""Commands of the stand-ins: run a fleet, run one service, or audit a file of records."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext, suppress
from pathlib import Path
from typing import TextIO

import uvloop

from standins import system_story
from standins.auditor import audit
from standins.counter import Counter
from standins.deployments import DEPLOYMENTS
from standins.discovery import Discovery
from standins.faults import ACTIONS, ScriptError, read_script
from standins.fleet import Fleet, run_fleet
from standins.fleet_options import Options
from standins.http import Service
from standins.ingress_process import HOST
from standins.match import MatchServer, ServerCapacity
from standins.records import Records, read_records
from standins.verdict import Rules

CURL = (
    "curl -i -H 'X-Call-Id: mine-1' -H 'X-Call-Class: browse' -H 'X-Tier: basic' -H 'X-Budget: 2000m'"
    " -H 'X-Call-Terms: units=1,spread={spread},first=0' http://{host}:{port}/api/00000000000003e7"
)


def parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    p = argparse.ArgumentParser(prog="python -m standins", description=__doc__)
    sub = p.add_subparsers(dest="command", required=True)
    f = sub.add_parser(
        "fleet",
        help="run ingresses and stand-ins with generated traffic, and audit the run",
        epilog="Fault scripts: TOML with [[fault]] tables; actions: " + ", ".join(ACTIONS),
    )
    f.add_argument("--seconds", type=float, default=10.0, help="duration of the traffic in seconds (default 10)")
    f.add_argument("--rate", type=float, default=120.0, help="first attempts per second (default 120)")
    f.add_argument("--ingresses", type=int, default=3)
    f.add_argument("--servers", type=int, default=10)
    f.add_argument("--seed", type=int, default=1)
    f.add_argument("--port", type=int, default=8080, help="port of the first ingress; 0 selects unused ports")
    f.add_argument(
        "--move",
        type=float,
        default=0.0,
        help="seconds after which all members use the next ingress; 0: each member has its own mix",
    )
    f.add_argument(
        "--deployment", choices=DEPLOYMENTS, default="matching", help="request classes, plans and limits to use"
    )
    f.add_argument("--folders", action="store_true", help="give each ingress a state folder")
    f.add_argument("--faults", metavar="FILE", help="fault script to play")
    f.add_argument("--records", metavar="FILE", help="write the recorded events to FILE, one JSON line each")
    system = sub.add_parser("system", help="run the whole system: core machines, proxies and their stand-ins")
    system.add_argument(
        "--hold",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="skip the scenario and serve one configuration for this many seconds",
    )
    c = sub.add_parser("counter", help="run the counter service alone")
    c.add_argument("--parts", type=int, default=1)
    c.add_argument("--per-s", type=float, default=0.0, help="calls per second of each part; 0: unlimited")
    m = sub.add_parser("match", help="run one match server alone")
    m.add_argument("--name", default="s-0")
    m.add_argument("--cores", type=int, default=3)
    m.add_argument("--work", type=float, default=0.03, help="mean core seconds per request")
    d = sub.add_parser("discovery", help="run discovery alone, with servers given as NAME=HOST:PORT")
    d.add_argument("servers", nargs="*")
    for one in (c, m, d):
        one.add_argument("--port", type=int, default=0)
        one.add_argument("--records", metavar="FILE")
    a = sub.add_parser("audit", help="audit a file of records")
    a.add_argument("file")
    a.add_argument("--deployment", choices=DEPLOYMENTS, default="matching", help="deployment that produced the records")
    return p


async def print_progress(fleet: Fleet) -> None:
    """Print the state of a fleet once a second: a redrawn table in a terminal, one line elsewhere."""
    live, began = sys.stdout.isatty(), asyncio.get_running_loop().time()
    while True:
        await asyncio.sleep(1.0)
        assert fleet.front is not None
        t = fleet.front.status_counts
        at = asyncio.get_running_loop().time() - began
        head = (
            f"{at:5.1f} s  sent {fleet.front.sent}  out {fleet.front.in_flight}  200: {t.get(200, 0)}"
            f"  429: {t.get(429, 0)}  503: {t.get(503, 0)}"
            f"  other: {sum(n for s, n in t.items() if s not in (200, 429, 503))}"
            f"  counter calls {fleet.counter.calls}"
        )
        if live:
            rows = [
                f"  {s.name:6} {s.address:16} inflight {s.inflight:3} queue {s.waiting:3} speed "
                f"{s.speed():4.2f}{'  draining' if s.draining else ''}"
                for s in fleet.servers
            ]
            print("\x1b[2J\x1b[H" + "\n".join([head, *rows]), flush=True)
        else:
            print(head, flush=True)


async def run_fleet_command(args: argparse.Namespace) -> int:
    """Run a fleet and print its verdict; return the exit code."""
    for key, low in (("ingresses", 1), ("servers", 1), ("seconds", 0.1), ("rate", 0.1)):
        if getattr(args, key) < low:
            print(f"standins: --{key}: expected {low} or more, got {getattr(args, key)}", file=sys.stderr)
            return 2
    options = Options(
        args.ingresses,
        args.servers,
        args.seconds,
        args.rate,
        args.seed,
        args.port,
        faults=tuple(read_script(args.faults)) if args.faults else (),
        switch_interval_s=args.move,
        deployment=DEPLOYMENTS[args.deployment],
        folders=args.folders,
    )

    async def watch(f: Fleet) -> None:
        print(
            f"{args.ingresses} ingresses, {args.servers} match servers. Try: "
            + CURL.format(host=HOST, port=f.ingresses[0].port, spread=args.ingresses),
            flush=True,
        )
        await print_progress(f)

    with open_sink(args.records) as sink:
        records = Records(sink)
        verdict, cpu, sent = await run_fleet(options, watch, records)
    print("\n".join(verdict.lines()))
    print(f"CPU of the ingresses, start-up included: {cpu:.2f} s for {sent} tries")
    print("verdict: all rules kept" if verdict.kept else f"verdict: {len(verdict.breaches)} breaches")
    return 0 if verdict.kept else 1


def open_sink(path: str | None) -> AbstractContextManager[TextIO | None]:
    """Return a context of the opened records file, or of None without a path."""
    return Path(path).open("w", encoding="utf-8", buffering=1) if path else nullcontext()


async def serve_command(args: argparse.Namespace) -> int:
    """Run one stand-in until it is interrupted."""
    with open_sink(args.records) as sink:
        records = Records(sink)
        service: Service
        if args.command == "counter":
            service = Counter(records, parts=args.parts, per_s=args.per_s)
        elif args.command == "match":
            service = MatchServer(args.name, records, ServerCapacity(cores=args.cores, work=args.work))
        else:
            service = discovery = Discovery(records)
            for entry in args.servers:
                name, sep, address = entry.partition("=")
                if not sep:
                    print(f"standins: {entry}: expected NAME=HOST:PORT", file=sys.stderr)
                    return 2
                discovery.put(name, address)
        await service.start(args.port)
        print(service.address, flush=True)
        try:
            await asyncio.Event().wait()
        finally:
            await service.stop()
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command; return 0 if all rules were kept, 1 if one was broken, 2 if the command cannot start."""
    args = parser().parse_args(argv)
    try:
        if args.command == "audit":
            lines = Path(args.file).read_text(encoding="utf-8").splitlines()
            d = DEPLOYMENTS[args.deployment]
            effects = {name: c.effect for name, c in d.classes.items()}
            verdict = audit(
                read_records(lines, args.file),
                Rules(d.plans, effects, cold_multiple=d.cold_multiple, cold_window=d.cold_window),
            )
            print("\n".join(verdict.lines()))
            return 0 if verdict.kept else 1
        if args.command == "system":
            return uvloop.run(system_story.run(args.hold))
        with suppress(KeyboardInterrupt):
            return uvloop.run(run_fleet_command(args) if args.command == "fleet" else serve_command(args))
    except (ScriptError, OSError, ValueError) as error:
        print(f"standins: {error}", file=sys.stderr)
        return 2
    return 1


if __name__ == "__main__":
    sys.exit(main())
