"""Which machines are the core's, as followers of it know. Pure."""

from __future__ import annotations

from thistleusher.transport.messages import CoreInfo


class CoreMembers:
    """The core as the newest epoch that was heard of has it."""

    def __init__(self) -> None:
        self.epoch = 0
        self.voters: tuple[str, ...] = ()
        self.leader = ""

    def learn(self, info: CoreInfo) -> bool:
        """Take in what a control process tells; whether it counts: not of an older epoch, nor without voters."""
        if info.epoch < self.epoch or not info.voters:
            return False
        self.epoch, self.voters, self.leader = info.epoch, info.voters, info.leader
        return True
