"""Tests of the scale run without processes: slopes, the table, and the generated inputs."""

import json

import pytest

from benchmarks.scale.fit import fit, quantile, table
from benchmarks.scale.inputs import CHANGED_ROUTES, change_routes, proxy_address, random_configuration, settings
from thistleusher.common.settings_reader import read_node_settings
from thistleusher.configuration.validation import read_configuration


def test_a_line_is_found_again_and_errors_around_it_cancel():
    exact = fit([30, 100, 300, 1000], [2.0 + 0.5 * n for n in (30, 100, 300, 1000)])
    assert exact.at(2800) == pytest.approx(1402.0)
    noisy = fit([0, 10, 20], [1.0, 10.0, 21.0])
    assert noisy.per_proxy == pytest.approx(1.0) and noisy.base == pytest.approx(2 / 3)


@pytest.mark.parametrize("sizes, values", [([30], [1.0]), ([30, 30], [1.0, 2.0]), ([30, 100], [1.0])])
def test_no_slope_out_of_one_size(sizes, values):
    with pytest.raises(ValueError, match="two different sizes"):
        fit(sizes, values)


def test_the_table_leaves_out_what_was_not_measured():
    nan = float("nan")
    lines = table([(10, {"a": 1.0, "b": nan}), (20, {"a": 2.0, "b": 5.0}), (30, {"a": 3.0, "c": 7.0})], 2800)
    assert lines[0].split() == ["figure", "10", "20", "30", "slope", "at", "2800"]
    assert [line.split() for line in lines[1:]] == [
        ["a", "1", "2", "3", "0.1", "280"],
        ["b", "-", "5", "-", "-", "-"],
        ["c", "-", "-", "7", "-", "-"],
    ]


def test_quantiles():
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert quantile([1.0, 2.0], 0.99) == 2.0
    assert str(quantile([], 0.5)) == "nan"


def test_a_thousand_proxies_have_addresses_of_their_own_and_sound_settings(tmp_path):
    assert len({proxy_address(n) for n in range(1000)}) == 1000
    boot = read_node_settings(settings("proxy-999", "proxy", proxy_address(999), "z-12", tmp_path))
    assert boot.region == "r-2" and len(boot.core_ips) == 3 and len(boot.zones) == 21


def test_configurations_are_valid_and_a_change_is_of_a_few_routes():
    first = random_configuration(60, 12, 300)
    second = change_routes(first, 2)
    for config in (first, second):
        read_configuration(json.dumps(config).encode())
    assert second["version"] == "00000002"
    assert sum(first["routes"][name] != route for name, route in second["routes"].items()) == CHANGED_ROUTES
