"""Settings out of the forms in which they come, checked: path=value pairs, or the same nested as JSON."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, NoReturn

from thistleusher.core.settings import ClassSettings, Effect, Group, PlanSettings, Settings

GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}


class InvalidSettingError(Exception):
    """A value that cannot be used: where it stands, which field, what was expected."""


def bad(message: str, field: str, expected: str, got: object) -> NoReturn:
    raise InvalidSettingError(f"{message}: {field}: expected {expected}, got {got!r}")


def read_number(message: str, field: str, text: str, low: float = -math.inf) -> float:
    try:
        value = float(text)
    except ValueError:
        bad(message, field, "a number", text)
    if not math.isfinite(value) or value < low:
        bad(message, field, f"a finite number{'' if low == -math.inf else f' of {low:g} or more'}", text)
    return value


def read_optional(message: str, field: str, text: str, low: float = 0.0) -> float:
    return 0.0 if text == "-" else read_number(message, field, text, low)


def read_whole(message: str, field: str, text: str, low: int = 0) -> int:
    try:
        value = int(text)
    except ValueError:
        bad(message, field, "a whole number", text)
    if value < low:
        bad(message, field, f"a whole number of {low} or more", text)
    return value


def read_choice(message: str, field: str, text: str, choices: dict[str, Any]) -> Any:
    if text not in choices:
        bad(message, field, "one of " + ", ".join(choices), text)
    return choices[text]


def read_flag(message: str, field: str, text: str) -> bool:
    return bool(read_choice(message, field, text, {"1": True, "0": False}))


class _Values:
    """The settings as sent: path=value, read by path; keys not asked for are passed over."""

    def __init__(self, parts: list[str], source: str) -> None:
        self.source = source
        self.values: dict[str, str] = {}
        for part in parts:
            key, sep, value = part.partition("=")
            if not sep:
                bad(self.source, "profileData", "path=value", part)
            self.values[key] = value

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            bad(self.source, key, "a value (the setting is required)", None)
        return value

    def number(self, key: str, default: str | None = None) -> float:
        return read_number(self.source, key, self.text(key, default))

    def whole(self, key: str, default: str | None = None) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        return bool(
            read_choice(
                self.source, key, self.text(key, "false").lower(), {"true": True, "false": False, "1": True, "0": False}
            )
        )


def read_settings(parts: list[str], source: str = "BORN") -> tuple[Settings, tuple[str, ...]]:
    """The settings out of path=value pairs, and the names of the values of a load report.

    `source` is named in errors; BadSetting and ValueError say what is wrong. Times are in seconds.
    """
    p = _Values(parts, source)
    classes = tuple(
        ClassSettings(
            name=p.text(c + "name"),
            effect=read_choice(source, c + "semantics", p.text(c + "semantics"), EFFECTS),
            objective=p.number(c + "objective"),
            deadline=p.number(c + "hardLimit"),
            worth=p.number(c + "credit", "1"),
            late_worth=p.number(c + "lateWorth", "0"),
            group=read_choice(source, c + "group", p.text(c + "group", "all"), GROUPS),
            window=p.number(c + "window", "0"),
        )
        for c in (f"classes.{i}." for i in range(p.whole("classes.count")))
    )
    plans = tuple(
        PlanSettings(
            name=p.text(q + "name"),
            rate=p.number(q + "rate"),
            burst=p.number(q + "storeSize"),
            price=p.number(q + "pays", "1"),
            over_worth=p.number(q + "beyondEarns", "0"),
            over_cost=p.number(q + "beyondCosts", "0"),
            max_open=p.whole(q + "maxOut", "0"),
            ceiling_rate=p.number(q + "capRate", "0"),
            ceiling_burst=p.number(q + "neverOverDepth", "0"),
            ceiling_slack=p.number(q + "capSlack", "0"),
        )
        for q in (f"plans.{i}." for i in range(p.whole("plans.count")))
    )
    how = p.text("loadReport.how", "silent")
    settings = Settings(
        classes=classes,
        plans=plans,
        instances=p.whole("balancers"),
        me=p.whole("me"),
        zone=p.text("zone", ""),
        step=p.number("step", "0"),
        counter=p.flag("extra.counter"),
        counter_timeout=p.number("extra.counterTimeout", "0.05"),
        counter_price=p.number("extra.counterPrice", "0"),
        max_units=p.number("extra.maxUnits", "1"),
        settles=p.flag("extra.truedUp"),
        max_attempts=p.whole("limits.maxAttempts", "1"),
        retry_after=p.flag("limits.retryAfter"),
        max_retry_after=p.number("limits.maxRetryAfter", "0"),
        may_probe=p.flag("limits.mayProbe"),
        may_cancel=p.flag("limits.cancel"),
        peers=p.flag("limits.peers"),
        peer_in_per_s=p.number("extra.peerInPerS", "0"),
        second_copies=p.flag("limits.secondCopies"),
        own_backends=p.flag("limits.ownBackends"),
        list_on_request=p.text("discovery", "pushed") == "on_request",
        ask_every=p.number("invariants.askEvery", "10"),
        load_in_answers=how == "piggyback",
        load_in_probes=how in ("piggyback", "pull"),
        drain_grace=p.number("invariants.drainGrace", "0"),
        fall_multiple=p.number("invariants.fallMultiple", "1"),
        fall_after=p.number("invariants.tipAfter", "1"),
        start_capacity=p.number("invariants.startCapacity", "1"),
        cold_time=p.number("invariants.cold", "0"),
        connect_timeout=p.number("limits.connectTimeout", "0"),
        late_fail_price=p.number("prices.lateFail", "0"),
        waste_price=p.number("prices.waste", "0"),
        cross_zone_price=p.number("prices.crossZone", "0"),
        probe_price=p.number("prices.probe", "0"),
    )
    fields = p.text("loadReport.fields", "")
    return settings, tuple(f for f in fields.split(",") if f and f != "-")


def flatten(value: Any, path: str) -> Iterator[str]:
    """Nested settings in the adapter's path=value form, so that both are read by the same code."""
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
    """Nested settings, as a configuration holds them; BadSetting or ValueError where they cannot be used."""
    return read_settings(list(flatten(dict(value), "")), "settings")
