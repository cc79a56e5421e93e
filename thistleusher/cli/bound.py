"""`python -m thistleusher bound CONFIG`: how far quotas and ceilings can be passed while the counter fails."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.core.text_fields import InvalidSettingError
from thistleusher.net.config import InvalidConfigurationError, read_data
from thistleusher.quota.bound import Assumed, table


def read(path: str) -> Settings:
    """The settings of a configuration file; BadConfiguration names the file and what is wrong in it."""
    data = read_data(path)
    try:
        return nested_settings(data["settings"])[0]
    except (InvalidSettingError, ValueError, TypeError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error


def main(argv: Sequence[str]) -> int:
    """0: printed; 2: the configuration or an option cannot be used."""
    parser = argparse.ArgumentParser(prog="python -m thistleusher bound", description=__doc__)
    parser.add_argument("config", help="the ingress's configuration, as PROXY_CONFIG names it")
    parser.add_argument("--outage", type=float, default=60.0, help="seconds that the failure lasts (default 60)")
    parser.add_argument("--loss", type=float, default=0.05, help="share of datagrams lost (default 0.05)")
    parser.add_argument("--delay", type=float, default=0.05, help="seconds by which they are late (default 0.05)")
    parser.add_argument("--skew", type=float, default=0.0, help="seconds that clocks are apart (default 0)")
    parser.add_argument("--folders", action="store_true", help="every ingress has a state folder")
    args = parser.parse_args(argv)
    try:
        settings = read(args.config)
        lines = table(
            settings, Assumed(args.loss, args.delay, outage=args.outage, skew=args.skew, folders=args.folders)
        )
    except (InvalidConfigurationError, ValueError) as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return 2
    print(f"units, for a failure of {args.outage:g} s; {100 * args.loss:g}% of datagrams lost, {args.delay:g} s late")
    if not settings.peers:
        print("ingresses may not tell one another here: each holds to even shares, and no ceiling is escrowed")
    print("\n".join(lines))
    return 0
