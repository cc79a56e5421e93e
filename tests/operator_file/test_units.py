"""Durations and sizes with their units."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleusher.operator_file.units import Bytes, Seconds, read_bytes, read_seconds


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(1, 10**9))
def test_units_come_back_as_they_are_shown(n):
    assert read_bytes(str(Bytes(n))) == n
    assert read_seconds(str(Seconds(n / 1000))) == pytest.approx(n / 1000, rel=1e-9)


@pytest.mark.parametrize(
    "text",
    ["", "5", "ms", "-5ms", "5 m s", "1e3s", "nan s", "inf s", "5xs", "٣s", 5, None, True, "9" * 20 + "s", "5ms\n"],
)
def test_what_is_no_duration_or_size(text):
    for read in (read_seconds, read_bytes):
        with pytest.raises(ValueError, match="expected"):
            read(text)
