"""The core machines as known to their subscribers."""

from thistleusher.transport.core_members import CoreMembers
from thistleusher.transport.messages import CoreInfo


def test_an_older_epoch_does_not_replace_newer_voters():
    core = CoreMembers()
    assert core.update(CoreInfo(("a", "b", "d"), 7, "d"))
    assert not core.update(CoreInfo(("a", "b", "c"), 6, "c")) and not core.update(CoreInfo((), 9, ""))
    assert (core.epoch, core.voters, core.leader) == (7, ("a", "b", "d"), "d")
