"""The ingress's configuration: a JSON file that the environment names, checked before anything starts."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.core.text_fields import InvalidSettingError
from thistleusher.net.backend_list import BackendList, parse_backend_list
from thistleusher.services.addresses import Address, read_address


class InvalidConfigurationError(Exception):
    """What is wrong with the configuration, in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """What an ingress is told at its start."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int
    idle: float
    known: BackendList | None
    settings: Settings
    load_fields: tuple[str, ...]


def read_data(path: str) -> dict[str, Any]:
    """A configuration file's JSON, with `settings` in it; BadConfiguration names the file and what is wrong."""
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error
    except RecursionError as error:
        raise InvalidConfigurationError(f"{path}: nested too deeply") from error
    if not isinstance(data, dict) or not isinstance(data.get("settings"), dict):
        raise InvalidConfigurationError(f"{path}: settings: missing")
    return data


def read_config(environ: Mapping[str, str]) -> Config:
    """The configuration file, whose name and addresses the environment also tells."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise InvalidConfigurationError("PROXY_CONFIG is not set")
    data = read_data(path)
    for key in ("name", "listen", "discovery"):
        data.setdefault(key, environ.get(f"PROXY_{key.upper()}"))

    def address(key: str) -> Address | None:
        return read_address(str(data[key])) if data.get(key) else None

    try:
        settings, fields = nested_settings(data["settings"])
        listen, discovery = address("listen"), address("discovery")
        if listen is None or discovery is None:
            raise ValueError("listen and discovery are needed")
        return Config(
            name=str(data["name"]),
            listen=listen,
            discovery=discovery,
            counter=address("counter"),
            peer_listen=address("peer_listen"),
            peers_all=address("peers_all"),
            peers=tuple(read_address(str(p)) for p in data.get("peers", ())),
            seed=int(str(data.get("seed", "0")), 16),
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            idle=float(data["settings"].get("limits", {}).get("connIdle", 15.0)),
            known=parse_backend_list(data["known"]) if data.get("known") else None,
            settings=settings,
            load_fields=fields,
        )
    except (InvalidSettingError, ValueError, TypeError, AttributeError, KeyError, OverflowError) as error:
        raise InvalidConfigurationError(f"{path}: {' '.join(str(error).split())}") from error
