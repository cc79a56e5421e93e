"""The settings file of a process (`boot.conf`): lines `a.b=value`, read whole and checked.

Unknown fields are ignored, as the users' page asks. What is wrong is told all at once: an exception group with one
`BadSetting` a fault, each of them one line.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from roadspur.services.wire import read_address

VARIABLE = "THISTLEUSHER_NODE_FILE"
USUAL = "/etc/thistleusher/boot.conf"
LISTS = ("serves", "seed_nodes", "contracts", "bounds", "cloud_api.duties", "port_range")
STACKS, ACCESSION, DESK, RING = range(4)  # ports by their place in the range: what is handed over, beats by UDP


class BadSetting(ValueError):
    """One field of a settings file that cannot be used: which, what was found, what was expected."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Binds(_Part):
    """Where a process listens for the outside, `host:port`; empty where it serves nothing of the kind."""

    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class Limits(_Part):
    """The machine: `cpu_share` of a core, memory in MB, descriptors, link in Mbit/s, disk in MB."""

    cpu_share: float = Field(default=1.0, gt=0)
    cores: float = Field(default=1.0, gt=0)
    mem_mb: float = Field(default=256.0, gt=0)
    fd_limit: int = Field(default=1024, ge=64)
    link_mbps: float = Field(default=1000.0, gt=0)
    disk_mb: float = Field(default=0.0, ge=0)


class Cloud(_Part):
    """The platform: address, calls a second that all may make together, and by how many ms its list lags."""

    address: str = ""
    rate_per_s: float = Field(default=10.0, gt=0)
    lag_ms: float = Field(default=0.0, ge=0)


class Tolerance(_Part):
    """What may be lost at once while all rules still hold."""

    machines: int = Field(default=1, ge=0)
    zones: int = Field(default=0, ge=0)
    regions: int = Field(default=0, ge=0)


class Bounds(_Part):
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


class Boot(_Part):
    """All that a process is told at its start."""

    node_name: str = Field(min_length=1)
    ip: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    role: str = ""
    machine_class: str = ""
    region: str = ""
    serves: tuple[str, ...] = ()
    zones: dict[str, str] = Field(default_factory=dict)
    binds: Binds = Binds()
    port_range: tuple[int, int]
    seed_nodes: tuple[str, ...] = Field(min_length=1)
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
            raise BadSetting(f"line {number}: expected name=value, found {line[:60]!r}")
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
                raise BadSetting(f"line {number}: {step} is both a value and a table")
            table = inner
        table[last] = read
    return tables


def faults_of(error: ValidationError) -> list[BadSetting]:
    """One line a fault: where, what was expected, what was found."""
    faults = []
    for e in error.errors():
        found = "" if e["type"] == "missing" else f", found {str(e.get('input'))[:60]!r}"
        faults.append(BadSetting(f"{'.'.join(str(p) for p in e['loc']) or 'file'}: {e['msg']}{found}"))
    return faults


def read_boot(text: str) -> Boot:
    """A settings file's text, checked. ExceptionGroup of `BadSetting` with all that is wrong."""
    try:
        boot = Boot.model_validate(nested(text))
    except ValidationError as error:
        raise ExceptionGroup("settings", faults_of(error)) from None
    except BadSetting as error:
        raise ExceptionGroup("settings", [error]) from None
    wrong: list[BadSetting] = []
    named = [("seed_nodes", s) for s in boot.seed_nodes] + [
        (f"binds.{n}", v) for n, v in boot.binds.model_dump().items() if v]
    for name, value in named:
        try:
            read_address(value)
        except ValueError as error:
            wrong.append(BadSetting(f"{name}: {error}"))
    low, high = boot.port_range
    if not 0 < low <= high - RING <= 65535 - RING:
        wrong.append(BadSetting(f"port_range: expected {RING + 1} ports at least, found {low},{high}"))
    if wrong:
        raise ExceptionGroup("settings", wrong)
    return boot


def boot_path() -> Path:
    """Where the settings file is."""
    return Path(os.environ.get(VARIABLE, USUAL))
