"""Fit least-squares lines to measured figures by the number of proxies, and format them as a table."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Slope(NamedTuple):
    """A figure as a linear function of the number of proxies."""

    base: float
    per_proxy: float

    def at(self, proxies: float) -> float:
        """Return the value of the line for a number of proxies."""
        return self.base + self.per_proxy * proxies


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Return the line with the smallest sum of squared errors.

    Raises ValueError if there are fewer than two different sizes, or not one value for each size.
    """
    if len(sizes) != len(values) or len(set(sizes)) < 2:
        raise ValueError(f"expected a value for each of two different sizes or more, got {len(sizes)}, {len(values)}")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    squared_deviations = sum((size - mean_size) ** 2 for size in sizes)
    co_deviations = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
    per_proxy = co_deviations / squared_deviations
    return Slope(mean_value - per_proxy * mean_size, per_proxy)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of the values; `fraction` is between 0 and 1. NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def format_value(value: float) -> str:
    """Return a value with three significant digits, without an exponent."""
    if math.isnan(value):
        return "-"
    if abs(value) >= 100:
        return f"{value:.0f}"
    return f"{value:.1f}" if abs(value) >= 10 else f"{value:.3g}"


def table(results: Sequence[tuple[int, Mapping[str, float]]], target: int) -> list[str]:
    """Return one line per figure: its value at each size, its slope, and its extrapolation to the target size.

    Sizes at which a figure is missing are left out of its fit. A figure with a single size has no slope.
    """
    names = list(dict.fromkeys(name for _, figures in results for name in figures))
    width = max([len(name) for name in names], default=0)
    sizes = [size for size, _ in results]
    header = [f"{'figure':{width}}", *(f"{size:>10}" for size in sizes), f"{'slope':>12}", f"{f'at {target}':>10}"]
    lines = [" ".join(header)]
    for name in names:
        values = [figures.get(name, math.nan) for _, figures in results]
        points = [(size, value) for size, value in zip(sizes, values, strict=True) if not math.isnan(value)]
        cells = [f"{format_value(value):>10}" for value in values]
        slope = fit(*zip(*points, strict=True)) if len({size for size, _ in points}) > 1 else None
        extrapolation = ["-", "-"] if slope is None else [f"{slope.per_proxy:.3g}", format_value(slope.at(target))]
        lines.append(" ".join([f"{name:{width}}", *cells, f"{extrapolation[0]:>12}", f"{extrapolation[1]:>10}"]))
    return lines
