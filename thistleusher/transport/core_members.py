"""The core machines as their subscribers know them. Pure."""

from __future__ import annotations

from thistleusher.transport.messages import CoreInfo


class CoreMembers:
    """The core's members, of the newest epoch heard of."""

    def __init__(self) -> None:
        self.epoch = 0
        self.voters: tuple[str, ...] = ()
        self.leader = ""

    def update(self, info: CoreInfo) -> bool:
        """Take in what a control process says; return False where it is of an older epoch or names no voters."""
        if info.epoch < self.epoch or not info.voters:
            return False
        self.epoch = info.epoch
        self.voters = info.voters
        self.leader = info.leader
        return True
