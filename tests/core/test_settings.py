"""Errors for invalid settings name the field."""

from __future__ import annotations

import pytest

from tests.helpers import PLAN, SAFE
from thistleusher.core.settings import ClassSettings, PlanSettings, Settings


@pytest.mark.parametrize(
    "change,field",
    [
        (dict(classes=()), "classes"),
        (dict(plans=()), "plans"),
        (dict(instances=0), "instances"),
        (dict(counter_timeout=-1.0), "counter_timeout"),
        (dict(max_attempts=0), "max_attempts"),
    ],
)
def test_settings_that_cannot_hold_name_the_field(change, field):
    args = dict(classes=(SAFE,), plans=(PLAN,))
    args.update(change)
    with pytest.raises(ValueError, match=field):
        Settings(**args)


def test_negative_rate_and_unknown_effect_are_named():
    with pytest.raises(ValueError, match="plans.rate"):
        PlanSettings("p", rate=-1.0, burst=1.0)
    with pytest.raises(ValueError, match="classes.effect"):
        ClassSettings("c", "sometimes", 1.0, 1.0)  # type: ignore[arg-type]
