"""The settings of a process (`boot.conf`): the record, the parser of its `a.b=value` lines, and the semantic checks.

Unknown fields are ignored, as the specification requires. All errors are reported together, one line each.
`thistleusher.common.settings_reader` reads a complete file.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from thistleusher.services.addresses import read_address

LIST_FIELDS = ("serves", "seed_nodes", "contracts", "bounds", "cloud_api.duties", "port_range")

# Ports of the internal services, as offsets in `port_range`.
CONTROL = 0
REGISTRY = 1
PROXY = 2  # State transfers between proxies.
RING = 3  # Heartbeats between proxies, over UDP.
PORT_COUNT = 4
MAX_PORT = 65535


class InvalidSettingError(ValueError):
    """An invalid field of a settings file: its name, the expected value and the value found."""


class Binds(NamedTuple):
    """The external addresses on which a process listens, as `host:port`; empty if it does not offer the service."""

    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class Limits(NamedTuple):
    """The machine's limits: CPU as a fraction of a core, memory in MB, file descriptors, link in Mbit/s, disk in MB."""

    cpu_share: float = 1.0
    cores: float = 1.0
    mem_mb: float = 256.0
    fd_limit: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


class Cloud(NamedTuple):
    """The platform: its address, its rate limit for all callers together, and the delay of its list in ms."""

    address: str = ""
    rate_per_s: float = 10.0
    lag_ms: float = 0.0


class Tolerance(NamedTuple):
    """How many machines, zones and regions may fail at once while every guarantee still holds."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class Bounds(NamedTuple):
    """The limits that the service guarantees; the suffix of a name gives its unit."""

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
    """The settings of one process."""

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

    def port(self, offset: int) -> int:
        """Return a port of the internal services, by its offset in the range (`CONTROL`, ...)."""
        return self.port_range[0] + offset

    @property
    def core_ips(self) -> list[str]:
        """Return the IP addresses of the seed machines, sorted and without duplicates."""
        return sorted({read_address(seed)[0] for seed in self.seed_nodes})

    def region_of(self, zone: str) -> str:
        """Return a zone's region, or the zone's own name if the settings do not list the zone."""
        return self.zones.get(zone, zone)


def parse_lines(text: str) -> dict[str, Any]:
    """Return lines `a.b=value` as nested tables. Raise InvalidSettingError for a line of another form.

    Empty lines and lines that begin with `#` are skipped. Cost: linear in the number of lines.
    """
    tables: dict[str, Any] = {}
    for number, raw_line in enumerate(text.splitlines(), 1):
        line = raw_line.strip()
        if not line or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise InvalidSettingError(f"line {number}: expected name=value, found {line[:60]!r}")
        name = name.strip()
        table = tables
        *path, last = name.split(".", 1)  # A zone's name may contain dots.
        for step in path:
            inner = table.setdefault(step, {})
            if not isinstance(inner, dict):
                raise InvalidSettingError(f"line {number}: {step} is both a value and a table")
            table = inner
        table[last] = _parse_value(name, value)
    return tables


def _parse_value(name: str, value: str) -> Any:
    """Return a field's value: a list or table for the fields in `LIST_FIELDS`, else a string."""
    if name not in LIST_FIELDS:
        return value.strip()
    parts = [part.strip() for part in value.split(",") if part.strip()]
    if name != "bounds":
        return parts
    return {bound: figure for bound, _, figure in (part.partition("=") for part in parts)}


REQUIRED_FIELDS = ("node_name", "ip", "zone", "seed_nodes")
POSITIVE_FIELDS = ("limits.cpu_share", "limits.cores", "limits.mem_mb", "limits.link_mbps", "cloud_api.rate_per_s")
MINIMUMS = {
    "limits.fd_limit": 64,
    "limits.disk_mb": 0,
    "cloud_api.lag_ms": 0,
    "tolerance.machines": 0,
    "tolerance.zones": 0,
    "tolerance.regions": 0,
}


def semantic_faults(settings: NodeSettings) -> Iterable[str]:
    """Yield one line for each invalid value in settings whose fields are all present and of the right types."""

    def value(name: str) -> Any:
        part, _, field = name.partition(".")
        return getattr(getattr(settings, part), field)

    for name in REQUIRED_FIELDS:
        if not getattr(settings, name):
            yield f"{name}: expected at least one, found none"
    for name in POSITIVE_FIELDS:
        if not value(name) > 0:
            yield f"{name}: expected more than 0, found {value(name):g}"
    for name, minimum in MINIMUMS.items():
        if not value(name) >= minimum:
            yield f"{name}: expected {minimum} or more, found {value(name):g}"
    yield from _address_faults(settings)
    low, high = settings.port_range
    if not 0 < low <= high - (PORT_COUNT - 1) <= MAX_PORT - (PORT_COUNT - 1):
        yield f"port_range: expected {PORT_COUNT} ports or more, found {low},{high}"


def _address_faults(settings: NodeSettings) -> Iterator[str]:
    addresses = [("seed_nodes", seed) for seed in settings.seed_nodes]
    addresses += [(f"binds.{name}", address) for name, address in settings.binds._asdict().items() if address]
    for name, address in addresses:
        try:
            read_address(address)
        except ValueError as error:
            yield f"{name}: {error}"
