"""The uptime of a process, computed from its incarnation's name and the send time of a message."""

import pytest

from thistleusher.common.incarnations import incarnation_name, new_incarnation, uptime_at


def test_the_uptime_is_computed_from_the_name():
    assert uptime_at(new_incarnation(12.5), 20.0) == pytest.approx(7.5)
    assert uptime_at(incarnation_name("a@b", 3.0), 3.0) == 0.0
    assert new_incarnation(1.0) != new_incarnation(1.0)


@pytest.mark.parametrize("name", ["", "18a9f3", "18a9f3@", "18a9f3@x", "18a9f3@nan", "18a9f3@inf", "18a9f3@21.0"])
def test_a_name_without_a_start_time_gives_no_uptime(name):
    assert uptime_at(name, 20.0) is None
