"""`thistleusher bound`: by how much quotas and ceilings can be exceeded while the counter fails."""

from __future__ import annotations

from thistleusher.cli.commands import Bound
from thistleusher.cli.errors import CommandError
from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.core.text_fields import InvalidSettingError
from thistleusher.net.config import InvalidConfigurationError, read_data
from thistleusher.quota.bound import Assumptions, format_table


def read_settings(path: str) -> Settings:
    """Return the settings of a configuration file. Raises InvalidConfigurationError, which names the file."""
    data = read_data(path)
    try:
        return nested_settings(data["settings"])[0]
    except (InvalidSettingError, ValueError, TypeError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from error


def print_bound(options: Bound) -> int:
    """Print the table of bounds. Raises CommandError if the configuration or an option is invalid."""
    try:
        assumptions = Assumptions(
            options.loss, options.delay, outage=options.outage, skew=options.skew, folders=options.folders
        )
        settings = read_settings(options.config)
        lines = format_table(settings, assumptions)
    except (InvalidConfigurationError, ValueError) as error:
        raise CommandError(str(error)) from error
    print(
        f"units, for a failure of {options.outage:g} s; "
        f"{100 * options.loss:g}% of datagrams lost, {options.delay:g} s late"
    )
    if not settings.peers:
        print("ingresses cannot notify each other here: each is limited to an even share, and no ceiling is escrowed")
    print("\n".join(lines))
    return 0
