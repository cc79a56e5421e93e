"""Parser of settings, given as path=value pairs or as nested JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from thistleusher.core.settings import ClassSettings, Effect, Group, PlanSettings, Settings
from thistleusher.core.text_fields import invalid, read_choice, read_number

GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
SETTING_FLAGS = {"true": True, "false": False, "1": True, "0": False}
EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}


class _Values:
    """Settings as path=value pairs, looked up by path. Unknown paths are ignored."""

    def __init__(self, parts: list[str], source: str) -> None:
        self.source = source
        self.values: dict[str, str] = {}
        for part in parts:
            key, sep, value = part.partition("=")
            if not sep:
                invalid(self.source, "profileData", "path=value", part)
            self.values[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            invalid(self.source, key, "a value (the setting is required)", None)
        return value

    def number(self, key: str, default: str | None = None) -> float:
        return read_number(self.source, key, self.text(key, default))

    def whole(self, key: str, default: str | None = None) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        return read_choice(self.source, key, self.text(key, "false").lower(), SETTING_FLAGS)


def _read_class(values: _Values, path: str) -> ClassSettings:
    source = values.source
    return ClassSettings(
        name=values.text(path + "name"),
        effect=read_choice(source, path + "semantics", values.text(path + "semantics"), EFFECTS),
        objective=values.number(path + "objective"),
        deadline=values.number(path + "hardLimit"),
        worth=values.number(path + "credit", "1"),
        late_worth=values.number(path + "lateWorth", "0"),
        group=read_choice(source, path + "group", values.text(path + "group", "all"), GROUPS),
        window=values.number(path + "window", "0"),
    )


def _read_plan(values: _Values, path: str) -> PlanSettings:
    return PlanSettings(
        name=values.text(path + "name"),
        rate=values.number(path + "rate"),
        burst=values.number(path + "storeSize"),
        price=values.number(path + "pays", "1"),
        over_worth=values.number(path + "beyondEarns", "0"),
        over_cost=values.number(path + "beyondCosts", "0"),
        max_open=values.whole(path + "maxOut", "0"),
        ceiling_rate=values.number(path + "capRate", "0"),
        ceiling_burst=values.number(path + "neverOverDepth", "0"),
        ceiling_slack=values.number(path + "capSlack", "0"),
    )


def read_settings(parts: list[str], source: str = "BORN") -> tuple[Settings, tuple[str, ...]]:
    """Return the settings from path=value pairs, and the names of the values in a load report.

    Errors name `source`. Times are in seconds. Raise InvalidSettingError or ValueError if a value is invalid.
    """
    values = _Values(parts, source)
    classes = tuple(_read_class(values, f"classes.{i}.") for i in range(values.whole("classes.count")))
    plans = tuple(_read_plan(values, f"plans.{i}.") for i in range(values.whole("plans.count")))
    how = values.text("loadReport.how", "silent")
    settings = Settings(
        classes=classes,
        plans=plans,
        instances=values.whole("balancers"),
        me=values.whole("me"),
        zone=values.text("zone", ""),
        step=values.number("step", "0"),
        counter=values.flag("extra.counter"),
        counter_timeout=values.number("extra.counterTimeout", "0.05"),
        counter_price=values.number("extra.counterPrice", "0"),
        max_units=values.number("extra.maxUnits", "1"),
        settles=values.flag("extra.truedUp"),
        max_attempts=values.whole("limits.maxAttempts", "1"),
        retry_after=values.flag("limits.retryAfter"),
        max_retry_after=values.number("limits.maxRetryAfter", "0"),
        may_probe=values.flag("limits.mayProbe"),
        may_cancel=values.flag("limits.cancel"),
        peers=values.flag("limits.peers"),
        peer_in_per_s=values.number("extra.peerInPerS", "0"),
        second_copies=values.flag("limits.secondCopies"),
        own_backends=values.flag("limits.ownBackends"),
        list_on_request=values.text("discovery", "pushed") == "on_request",
        ask_every=values.number("invariants.askEvery", "10"),
        load_in_answers=how == "piggyback",
        load_in_probes=how in ("piggyback", "pull"),
        drain_grace=values.number("invariants.drainGrace", "0"),
        fall_multiple=values.number("invariants.fallMultiple", "1"),
        fall_after=values.number("invariants.tipAfter", "1"),
        start_capacity=values.number("invariants.startCapacity", "1"),
        cold_time=values.number("invariants.cold", "0"),
        connect_timeout=values.number("limits.connectTimeout", "0"),
        late_fail_price=values.number("prices.lateFail", "0"),
        waste_price=values.number("prices.waste", "0"),
        cross_zone_price=values.number("prices.crossZone", "0"),
        probe_price=values.number("prices.probe", "0"),
        cancel_stops_work=values.flag("limits.cancelStopsWork"),
    )
    fields = values.text("loadReport.fields", "")
    return settings, tuple(f for f in fields.split(",") if f and f != "-")


def flatten(value: Any, path: str) -> Iterator[str]:
    """Yield nested settings as path=value pairs, so that one parser reads both forms."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for i, item in enumerate(value):
            yield from flatten(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(str, value))}"
    elif value is not None:
        yield f"{path}={str(value).lower() if isinstance(value, bool) else value}"


def nested_settings(value: Mapping[str, Any]) -> tuple[Settings, tuple[str, ...]]:
    """Return the settings from the nested form of a configuration file. Raise InvalidSettingError or ValueError."""
    return read_settings(list(flatten(dict(value), "")), "settings")
