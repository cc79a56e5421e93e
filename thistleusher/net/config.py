"""The ingress's configuration: a JSON file named by an environment variable, validated before start-up."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.core.text_fields import InvalidSettingError
from thistleusher.net.backend_list import BackendList, parse_backend_list
from thistleusher.services.addresses import Address, read_address

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_BACKEND_IDLE_S = 15.0  # idle time-out of backends' connections, if `limits.connIdle` is missing


class InvalidConfigurationError(Exception):
    """An unusable configuration; the message describes the fault in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None  # one address at which a datagram reaches all peers
    seed: int
    max_sockets: int
    backend_idle_s: float  # seconds for which backends keep idle connections open
    known: BackendList | None  # endpoint list in effect until discovery answers
    settings: Settings
    load_fields: tuple[str, ...]  # names of the load report's values that are used
    memory_mb: float = DEFAULT_MEMORY_MB  # limit of the process's memory


def read_data(path: str) -> dict[str, Any]:
    """Return the decoded JSON object of a configuration file; it contains the object `settings`.

    Raises InvalidConfigurationError, which names the file and the fault.
    """
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error
    except RecursionError as error:
        raise InvalidConfigurationError(f"{path}: nested too deeply") from error
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise InvalidConfigurationError(f"{path}: settings: missing")
    return data


def read_config(environ: Mapping[str, str]) -> Config:
    """Return the configuration in the file named by PROXY_CONFIG.

    PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY are the defaults of keys that are missing in the file. Raises
    InvalidConfigurationError.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise InvalidConfigurationError("PROXY_CONFIG is not set")
    data = read_data(path)
    for key in ("name", "listen", "discovery"):
        data.setdefault(key, environ.get(f"PROXY_{key.upper()}"))
    try:
        return _config_of(data)
    except (InvalidSettingError, ValueError, TypeError, AttributeError, KeyError, OverflowError) as error:
        raise InvalidConfigurationError(f"{path}: {' '.join(str(error).split())}") from error


def _config_of(data: dict[str, Any]) -> Config:
    """Return the configuration for a file's decoded JSON. Errors of the parsers of its parts are passed on."""

    def address(key: str) -> Address | None:
        return read_address(str(data[key])) if data.get(key) else None

    limits = data.get("limits", {})
    settings, load_fields = nested_settings(data["settings"])
    listen = address("listen")
    discovery = address("discovery")
    if listen is None or discovery is None:
        raise ValueError("listen, discovery: both addresses are required")
    return Config(
        name=str(data["name"]),
        listen=listen,
        discovery=discovery,
        counter=address("counter"),
        peer_listen=address("peer_listen"),
        peers_all=address("peers_all"),
        peers=tuple(read_address(str(p)) for p in data.get("peers", ())),
        seed=int(str(data.get("seed", "0")), 16),
        max_sockets=int(limits.get("sockets", DEFAULT_MAX_SOCKETS)),
        backend_idle_s=float(data["settings"].get("limits", {}).get("connIdle", DEFAULT_BACKEND_IDLE_S)),
        known=parse_backend_list(data["known"]) if data.get("known") else None,
        settings=settings,
        load_fields=load_fields,
        memory_mb=float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
    )
