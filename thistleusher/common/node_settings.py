"""The settings file of a process (`boot.conf`): lines `a.b=value`, and the record that they make.

Unknown fields are ignored, as the users' page asks. What is wrong is told all at once: an exception group with one
`BadSetting` a fault, each of them one line. A file that can be used is read without the library that explains what
is wrong with one that cannot (`thistleusher.common.validation`).
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from thistleusher.common.record_reader import InvalidTableError, record
from thistleusher.services.addresses import read_address

VARIABLE = "THISTLEUSHER_NODE_FILE"
USUAL = "/etc/thistleusher/boot.conf"
LISTS = ("serves", "seed_nodes", "contracts", "bounds", "cloud_api.duties", "port_range")
CONTROL, REGISTRY, PROXY, RING = range(4)  # ports by their place in the range: what is handed over, beats by UDP


class InvalidSettingError(ValueError):
    """One field of a settings file that cannot be used: which, what was found, what was expected."""


class Binds(NamedTuple):
    """Where a process listens for the outside, `host:port`; empty where it serves nothing of the kind."""

    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class Limits(NamedTuple):
    """The machine: `cpu_share` of a core, memory in MB, descriptors, link in Mbit/s, disk in MB."""

    cpu_share: float = 1.0
    cores: float = 1.0
    mem_mb: float = 256.0
    fd_limit: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


class Cloud(NamedTuple):
    """The platform: address, calls a second that all may make together, and by how many ms its list lags."""

    address: str = ""
    rate_per_s: float = 10.0
    lag_ms: float = 0.0


class Tolerance(NamedTuple):
    """What may be lost at once while all rules still hold."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class Bounds(NamedTuple):
    """Figures of the rules, in the unit that their names end with."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 5000.0
    ack_within_ms: float = 8000.0
    catch_up_s: float = 4.0
    drain_ms: float = 4000.0
    grace_s: float = 6.0
    apply_within_ms: float = 4000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    evacuate_ms: float = 5000.0
    ttl_max_s: float = 5.0


class NodeSettings(NamedTuple):
    """All that a process is told at its start."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    role: str = ""
    machine_class: str = ""
    region: str = ""
    serves: tuple[str, ...] = ()
    zones: dict[str, str] = {}
    binds: Binds = Binds()
    bootstrap: bool = False
    counted: bool = False
    limits: Limits = Limits()
    data_dir: str = ""
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    cloud_api: Cloud = Cloud()

    def port(self, place: int) -> int:
        """The port of what ingresses say to each other, by its place in the range."""
        return self.port_range[0] + place

    @property
    def core_ips(self) -> list[str]:
        """The addresses of the seeds' machines, in order, each once."""
        return sorted({read_address(seed)[0] for seed in self.seed_nodes})

    def region_of(self, zone: str) -> str:
        """A zone's region; the zone itself where the settings do not name it."""
        return self.zones.get(zone, zone)


def nested(text: str) -> dict[str, Any]:
    """Lines `a.b=value` as nested tables. Costs a look at each line; BadSetting for one that is none."""
    tables: dict[str, Any] = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, sep, value = line.partition("=")
        if not sep:
            raise InvalidSettingError(f"line {number}: expected name=value, found {line[:60]!r}")
        name = name.strip()
        if name in LISTS:
            parts = [part.strip() for part in value.split(",") if part.strip()]
            read: Any = parts if name != "bounds" else {n: v for n, _, v in (part.partition("=") for part in parts)}
        else:
            read = value.strip()
        table = tables
        *path, last = name.split(".", 1)  # a zone's name may hold dots
        for step in path:
            inner = table.setdefault(step, {})
            if not isinstance(inner, dict):
                raise InvalidSettingError(f"line {number}: {step} is both a value and a table")
            table = inner
        table[last] = read
    return tables


MORE_THAN_0 = ("limits.cpu_share", "limits.cores", "limits.mem_mb", "limits.link_mbps", "cloud_api.rate_per_s")
AT_LEAST = {
    "limits.fd_limit": 64,
    "limits.disk_mb": 0,
    "cloud_api.lag_ms": 0,
    "tolerance.machines": 0,
    "tolerance.zones": 0,
    "tolerance.regions": 0,
}


def faults_of(boot: NodeSettings) -> Iterable[str]:
    """What is wrong with settings that have all fields and types: one line each."""

    def value(name: str) -> Any:
        part, _, field = name.partition(".")
        return getattr(getattr(boot, part), field)

    for name in ("node_name", "ip", "zone", "seed_nodes"):
        if not getattr(boot, name):
            yield f"{name}: expected one at least, found none"
    for name in MORE_THAN_0:
        if not value(name) > 0:
            yield f"{name}: expected more than 0, found {value(name):g}"
    for name, least in AT_LEAST.items():
        if not value(name) >= least:
            yield f"{name}: expected {least} or more, found {value(name):g}"
    for name, address in [("seed_nodes", s) for s in boot.seed_nodes] + [
        (f"binds.{n}", v) for n, v in boot.binds._asdict().items() if v
    ]:
        try:
            read_address(address)
        except ValueError as error:
            yield f"{name}: {error}"
    low, high = boot.port_range
    if not 0 < low <= high - RING <= 65535 - RING:
        yield f"port_range: expected {RING + 1} ports at least, found {low},{high}"


def read_node_settings(text: str) -> NodeSettings:
    """A settings file's text as a record. ExceptionGroup of `BadSetting` with all that is wrong."""
    try:
        boot = record(NodeSettings, nested(text))
    except InvalidSettingError as error:
        raise ExceptionGroup("settings", [error]) from None
    except InvalidTableError:
        from thistleusher.common.validation import (
            explain_node_settings,  # takes a while to load, and is not needed otherwise
        )

        raise ExceptionGroup("settings", explain_node_settings(nested(text))) from None
    wrong = [InvalidSettingError(text) for text in faults_of(boot)]
    if wrong:
        raise ExceptionGroup("settings", wrong)
    return boot


def node_settings_path() -> Path:
    """Where the settings file is."""
    return Path(os.environ.get(VARIABLE, USUAL))
