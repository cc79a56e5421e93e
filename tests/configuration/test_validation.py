"""Configurations are validated completely, and an invalid one is rejected with each error and its field."""

import json

import pytest
from hypothesis import given, settings, strategies

from tests.configuration.documents import body
from thistleusher.configuration.records import read_checked_configuration
from thistleusher.configuration.validation import MAX_FAULTS, MAX_LISTED_VALUES, read_configuration


def faults_of(data):
    with pytest.raises(ExceptionGroup) as caught:
        read_configuration(data)
    return [str(e) for e in caught.value.exceptions]


def test_a_valid_configuration_is_read_with_unknown_fields_ignored():
    config = read_configuration(body())
    assert (
        config.number == 7
        and config.routes["r1"].weighted_services[0].weight == 90
        and config.tenants["t2"].rate_per_s == 0
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(strategies.data())
def test_what_passes_the_checks_reads_the_same_without_them(data):
    """Includes numbers given as text, integers given as floats, and booleans given as words or numbers."""

    def change(table):
        for part in (*table["routes"].values(), *table["tenants"].values(), *table["services"].values()):
            for name, value in list(part.items()):
                if isinstance(value, bool):
                    part[name] = data.draw(strategies.sampled_from([value, str(value).lower(), int(value)]))
                elif isinstance(value, int):
                    part[name] = data.draw(strategies.sampled_from([value, float(value), str(value)]))
                elif value == [] and data.draw(strategies.booleans()):
                    del part[name]

    sent = body(change)
    assert read_checked_configuration(sent) == read_configuration(sent)


@pytest.mark.parametrize(
    "change, expected",
    [
        (lambda t: t["routes"]["r2"].update(target="nobody"), "unknown service 'nobody'"),
        (lambda t: t["routes"]["r1"].update(target="nobody"), "unknown service 'nobody'"),
        (lambda t: t["routes"]["r2"].update(path_prefix="/x/"), "the same host and prefix as routes.r1"),
        (lambda t: t["routes"]["r1"]["weighted"][0].update(weight=0), "weights sum to 0"),
        (lambda t: t["routes"]["r1"]["weighted"][1].update(weight=-1), "expected 0 or more"),
        (lambda t: t["routes"]["r2"].update(deadline_ms=0), "deadline_ms 0"),
        (lambda t: t["routes"]["r2"].update(target_ms=64000), "exceeds deadline_ms 4000 by a minute or more"),
        (lambda t: t["routes"]["r2"].pop("target"), "expected a target or weighted services"),
        (lambda t: t["tenants"]["t2"]["api_keys"].append("k1"), "has the same API key as tenants.t1"),
        (lambda t: t.update(version="7"), "eight hexadecimal digits"),
        (lambda t: t.pop("version"), "version: Field required"),
        (lambda t: t.update(version="0000000g"), "eight hexadecimal digits"),
        (lambda t: t.update(version="0x000007"), "eight hexadecimal digits"),
        (lambda t: t.update(version="\u0661" * 8), "eight hexadecimal digits"),
        (lambda t: t.update(version=7), "version: "),
        (lambda t: t["routes"]["r2"].update(path_prefix="/x/", hostname="A.Example"), "the same host and prefix"),
        (lambda t: t["routes"]["r1"]["weighted"][1].update(weight="nan"), "finite number"),
        (
            lambda t: t["routes"]["r1"].update(weighted=[{"target": "s1", "weight": 1e308}] * 2),
            "sum of the weights is not finite",
        ),
        (lambda t: t["routes"]["r2"].update(target_ms="nan"), "finite number"),
        (lambda t: t["routes"]["r2"].update(deadline_ms="inf"), "finite number"),
        (lambda t: t["tenants"]["t1"].update(rate_per_s="inf"), "finite number"),
        (lambda t: t["services"]["s1"].update(warmup_s="nan"), "finite number"),
        (lambda t: t["routes"].update({"r" * 401: t["routes"].pop("r2")}), "name is longer than 400 bytes"),
        (lambda t: t.update(later="\ud800"), "not Unicode"),
        (lambda t: t.update(routes=None), "routes: "),
    ],
    ids=lambda v: v if isinstance(v, str) else "",
)
def test_each_invalid_one_is_refused_and_says_where(change, expected):
    assert any(expected in fault for fault in faults_of(body(change)))


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ('"rank": 2', '"rank": 2, "rank": 2', "duplicate name"),
        ('"a_field_of_later": 1', '"a_field_of_later": {"x": 1, "x": 2}', "duplicate name"),
        ('"r2": {', '"r1": {', "duplicate name"),
        ('"a_field_of_later": 1', '"a_field_of_later": NaN', "is not a finite number"),
        ('"deadline_ms": 3000', '"deadline_ms": 1e999', "is not a finite number"),
        ('"a_field_of_later": 1', '"a_field_of_later": -Infinity', "is not a finite number"),
        ('"a_field_of_later": 1', '"a_field_of_later": ' + "[" * 62 + "]" * 62, "nested more than"),
        ('"a_field_of_later": 1', '"a_field_of_later": ' + "[" * 99_999 + "]" * 99_999, "invalid JSON"),
        ('"a_field_of_later": 1', '"a_field_of_later": ' + "9" * 5000, "invalid JSON"),
    ],
)
def test_what_two_readers_would_read_in_two_ways_is_refused(old, new, expected):
    sent = body().decode().replace(old, new, 1)
    assert sent != body().decode()
    assert any(expected in fault for fault in faults_of(sent.encode()))


def test_the_deepest_nesting_that_is_sound():
    assert read_configuration(body(lambda t: t.update(later=json.loads("[" * 63 + "]" * 63))))


def test_just_under_a_minute_over_is_sound():
    assert read_configuration(body(lambda t: t["routes"]["r2"].update(target_ms=63999)))


@pytest.mark.parametrize("part", [0.0, 0.2, 0.5, 0.99])
def test_one_cut_short_anywhere_is_refused(part):
    whole = body()
    assert faults_of(whole[: int(len(whole) * part)])


def test_all_faults_are_reported_at_once():
    def invalidate(table):
        table["routes"]["r1"]["deadline_ms"] = 0
        table["routes"]["r2"]["target"] = "nobody"

    assert len(faults_of(body(invalidate))) == 2


def test_the_errors_of_a_document_are_bounded():
    """FAULT: a document of 41 MB, each entry of the wrong type, took 6.5 GB for its list of errors."""
    names = range(MAX_LISTED_VALUES // 8)
    assert len(faults_of(body(lambda t: t["tenants"].update({f"x{n}": 0 for n in names})))) == MAX_FAULTS
    few = faults_of(body(lambda t: t["routes"].update({f"x{n}": {**t["routes"]["r1"], "target": ""} for n in names})))
    assert 1 <= len(few) <= MAX_FAULTS
    many = range(MAX_LISTED_VALUES + 1)
    assert len(faults_of(body(lambda t: t["routes"].update({f"x{n}": 0 for n in many})))) == 1
    assert len(faults_of(b"[" + b"1e999," * 5000 + b"1]")) <= MAX_FAULTS
