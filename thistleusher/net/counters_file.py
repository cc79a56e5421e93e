"""The operator's file with the addresses of several counters, usually `deploy/counters.toml`.

It is validated before start-up. Example: counters = ["10.2.0.2:6400", "10.2.0.3:6400"]
"""

from __future__ import annotations

import tomllib
from pathlib import Path

from thistleusher.net.config import InvalidConfigurationError
from thistleusher.operator_file.errors import printable
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address


def read_counters(path: str) -> Placement:
    """Return the counters listed in a file. Raises InvalidConfigurationError, which names the file and the key."""
    try:
        with Path(path).open("rb") as file:
            data = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error
    except RecursionError as error:
        raise InvalidConfigurationError(f"{path}: nested too deeply") from error
    unknown = data.keys() - {"counters"}
    if unknown:
        raise InvalidConfigurationError(f"{path}: {printable(min(unknown))}: no such key")
    counters = data.get("counters")
    if not isinstance(counters, list) or not all(isinstance(c, str) for c in counters):
        raise InvalidConfigurationError(f"{path}: counters: expected a list of host:port, got {counters!r}")
    try:
        for address in counters:
            read_address(address)
        return Placement(counters)
    except ValueError as error:
        raise InvalidConfigurationError(f"{path}: counters: {error}") from error
